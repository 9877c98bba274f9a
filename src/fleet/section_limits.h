// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Limits of the keys that the configuration sections `fleet` and `sites` share.
#ifndef LOAD_BALANCER_FLEET_SECTION_LIMITS_H_
#define LOAD_BALANCER_FLEET_SECTION_LIMITS_H_

#include "base/config/section.h"

namespace load_balancer::fleet {

inline constexpr IntegerRange kProbeIntervalMs{10, 60000};
inline constexpr IntegerRange kSuspicionMultiplier{1, 100};
inline constexpr IntegerRange kSyncIntervalMs{100, 600000};
inline constexpr IntegerRange kLeaseDriftMs{1, 60000};
inline constexpr std::int64_t kMaxLeaseTermMs = 600000;
inline constexpr IntegerRange kMaxBytesPerSecond{4096, 1 << 30};

/// The minimum ratio of the lease term to the clock drift.
inline constexpr int kLeaseTermsPerDrift = 6;

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_SECTION_LIMITS_H_
