// SPDX-License-Identifier: Apache-2.0
//
// Words that a state is hashed from.
#ifndef LOAD_BALANCER_FLEET_LEASE_FINGERPRINT_H_
#define LOAD_BALANCER_FLEET_LEASE_FINGERPRINT_H_

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <string_view>

#include "base/time.h"

namespace load_balancer::fleet {

inline std::uint64_t WordOf(std::string_view text) { return XXH64(text.data(), text.size(), 0); }

// A moment to come, as a span; what is past is past, however long.
inline std::uint64_t WordOf(Time now, Time moment) {
  return static_cast<std::uint64_t>(std::max<Span>(Span(0), moment - now).count());
}

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_LEASE_FINGERPRINT_H_
