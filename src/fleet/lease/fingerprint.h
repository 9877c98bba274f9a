// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The words from which the model checker hashes a state, so that it explores equal states once.
#ifndef LOAD_BALANCER_FLEET_LEASE_FINGERPRINT_H_
#define LOAD_BALANCER_FLEET_LEASE_FINGERPRINT_H_

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <string_view>

#include "base/time.h"

namespace load_balancer::fleet {

inline std::uint64_t FingerprintOf(std::string_view text) { return XXH64(text.data(), text.size(), 0); }

/// The time left until `moment`; 0 for every moment in the past, since how long ago it was changes nothing.
inline std::uint64_t FingerprintOf(Time now, Time moment) {
  return static_cast<std::uint64_t>(std::max<Span>(Span(0), moment - now).count());
}

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_LEASE_FINGERPRINT_H_
