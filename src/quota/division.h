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

/// The claim of one gateway to a share of a rate.
struct RateClaim {
  MilliUnits demand = 0;
  /// The part of the demand that is satisfied before the rest of the rate is divided.
  MilliUnits reserved_minimum = 0;
  /// The smallest rate that is useful to the gateway.
  MilliUnits min_useful_rate = 0;
  /// The end of the claim's current or last turn. During its turn a claim gets `min_useful_rate`, while
  /// claims that wait for their turn get nothing.
  Time turn_until = Time::min();
};

/// Divides `capacity` into one rate per claim. The rates add up to at most `capacity`. Capacity that exceeds
/// the total demand is divided in proportion to demand.
///
/// Claims whose rate would be below their minimum useful rate take turns: at least one of them, and as many
/// as fit, get that minimum, and the others get nothing. Claims whose turn has not ended by `now` come
/// first, followed by the others in the order in which their last turns ended.
std::vector<MilliUnits> DivideRate(MilliUnits capacity, const std::vector<RateClaim>& claims, Time now);

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_DIVISION_H_
