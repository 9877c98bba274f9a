// SPDX-License-Identifier: Apache-2.0
//
/// @file
/// Finds grants that fit beside everything else that may be in force of one budget.
#ifndef LOAD_BALANCER_QUOTA_GRANT_PLANNER_H_
#define LOAD_BALANCER_QUOTA_GRANT_PLANNER_H_

#include <vector>

#include "quota/commitments.h"

namespace load_balancer::quota {

/// An allocation and by when it must have expired.
struct FittingGrant {
  Allocation allocation;
  Time expires_at;
};

/// Plans the grants that are issued at one time. Keeps the totals of all slots, as each grant changes them
/// for the next one.
class GrantPlanner {
 public:
  /// Considers the slots from `now` to `end`. The arguments must outlive this.
  GrantPlanner(const Budget& budget, const ReservedMinimums& minimums, Commitments* commitments, Time now,
               Time end);

  /// The largest rate up to `rate` that fits until `min_end`, and how long it fits, up to `max_end`.
  FittingGrant Fit(GatewayId gateway, std::uint64_t incarnation, MilliUnits rate, Time min_end,
                   Time max_end) const;
  /// Adds a grant to the commitments.
  void Add(GatewayId gateway, const OutstandingGrant& grant);

 private:
  const Budget& budget_;
  const ReservedMinimums& minimums_;
  Commitments& commitments_;
  const Time first_slot_;
  std::vector<Allocation> totals_;  // of all gateways, by slot
};

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_GRANT_PLANNER_H_
