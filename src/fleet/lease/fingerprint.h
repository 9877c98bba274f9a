// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Helpers that encode a state for the model checker, which hashes states to explore equal ones only once.
#ifndef LOAD_BALANCER_FLEET_LEASE_FINGERPRINT_H_
#define LOAD_BALANCER_FLEET_LEASE_FINGERPRINT_H_

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <string_view>

#include "base/time.h"

namespace load_balancer::fleet {

/// Returns the hash of `text`.
inline std::uint64_t FingerprintOf(std::string_view text) { return XXH64(text.data(), text.size(), 0); }

/// Returns the time left until `moment`. All past moments give 0, because behaviour does not depend on how
/// long ago they were.
inline std::uint64_t FingerprintOf(Time now, Time moment) {
  return static_cast<std::uint64_t>(std::max<Span>(Span(0), moment - now).count());
}

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_LEASE_FINGERPRINT_H_
