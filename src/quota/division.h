// SPDX-License-Identifier: Apache-2.0
//
/// @file
/// Max-min fair division of a rate by demand, by progressive filling (Bertsekas, Gallager: "Data Networks",
/// 1992, section 6.5).
#ifndef LOAD_BALANCER_QUOTA_DIVISION_H_
#define LOAD_BALANCER_QUOTA_DIVISION_H_

#include <vector>

#include "base/time.h"
#include "quota/amount.h"

namespace load_balancer::quota {

/// What one gateway claims of a rate.
struct RateClaim {
  MilliUnits demand = 0;
  /// As much of the demand is served before the rest is divided.
  MilliUnits reserved_minimum = 0;
  /// A smaller rate is of no use.
  MilliUnits min_useful_rate = 0;
  /// Until when the claim has, or last had, its turn to get `min_useful_rate` while others went without.
  Time turn_until = Time::min();
};

/// Divides `capacity` into one rate per claim, at most `capacity` in total. What exceeds all demand is
/// divided in proportion to demand. Claims whose rate would be below their minimum useful rate take turns: as
/// many as fit get that minimum, first those whose turn lasts at `now`, then those whose last turn is longest
/// ago, and at least one of them; the others get nothing.
std::vector<MilliUnits> DivideRate(MilliUnits capacity, const std::vector<RateClaim>& claims, Time now);

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_DIVISION_H_
