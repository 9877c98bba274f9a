// SPDX-License-Identifier: Apache-2.0
//
/// @file
/// Finds grants that fit into one budget beside all other allocations that may be in force.
#ifndef LOAD_BALANCER_QUOTA_GRANT_PLANNER_H_
#define LOAD_BALANCER_QUOTA_GRANT_PLANNER_H_

#include <vector>

#include "quota/commitments.h"

namespace load_balancer::quota {

/// An allocation that fits, and the time at which it must have expired.
struct FittingGrant {
  Allocation allocation;
  Time expires_at;
};

/// Plans the grants that are issued at one time. It caches, for each time slot of the commitments, the sum of
/// the allocations of all gateways, because each grant changes the sums for the next one.
class GrantPlanner {
 public:
  /// Considers the slots from `now` to `end`. The arguments must outlive this object.
  GrantPlanner(const Budget& budget, const ReservedMinimums& minimums, Commitments* commitments, Time now,
               Time end);

  /// Returns the largest rate up to `rate` that fits at least until `min_end`, and the time, at most
  /// `max_end`, until which it fits.
  FittingGrant Fit(GatewayId gateway, std::uint64_t incarnation, MilliUnits rate, Time min_end,
                   Time max_end) const;
  /// Adds a grant to the commitments.
  void Add(GatewayId gateway, const OutstandingGrant& grant);

 private:
  const Budget& budget_;
  const ReservedMinimums& minimums_;
  Commitments& commitments_;
  const Time first_slot_;
  std::vector<Allocation> totals_;  // sums over all gateways, by slot
};

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_GRANT_PLANNER_H_
