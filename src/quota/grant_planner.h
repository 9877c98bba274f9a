// SPDX-License-Identifier: Apache-2.0
//
/// @file
/// Finds grants that, together with all other allocations that may be in force, do not exceed one budget.
#ifndef LOAD_BALANCER_QUOTA_GRANT_PLANNER_H_
#define LOAD_BALANCER_QUOTA_GRANT_PLANNER_H_

#include <vector>

#include "quota/commitments.h"

namespace load_balancer::quota {

/// An allocation that fits into the budget, and the time by which it must have expired.
struct FittingGrant {
  Allocation allocation;
  Time expires_at;
};

/// Plans the grants that are issued at one time. For each time slot of the commitments, the planner caches
/// the sum of the allocations of all gateways. Each grant changes these sums, and the next grant must fit
/// beside it.
class GrantPlanner {
 public:
  /// Plans for the slots from `now` to `end`. The arguments must outlive this object.
  GrantPlanner(const Budget& budget, const ReservedMinimums& minimums, Commitments* commitments, Time now,
               Time end);

  /// Returns the allocation for the largest rate that is at most `rate` and fits into the budget at least
  /// until `min_end`, and the time until which this allocation fits, which is at most `max_end`.
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
