// SPDX-License-Identifier: Apache-2.0
#include "quota/grant_planner.h"

#include <algorithm>

namespace load_balancer::quota {
namespace {

// Returns the largest rate whose allocation exceeds neither the rate nor the depth of `capacity`.
MilliUnits LargestRateWithin(const Budget& budget, const Allocation& capacity) {
  const MilliUnits rate = std::max<MilliUnits>(capacity.rate, 0);
  const MilliUnits depth = std::clamp<MilliUnits>(capacity.depth, 0, budget.burst);
  return std::min(rate, depth * budget.rate / budget.burst);
}

}  // namespace

GrantPlanner::GrantPlanner(const Budget& budget, const ReservedMinimums& minimums, Commitments* commitments,
                           Time now, Time end)
    : budget_(budget),
      minimums_(minimums),
      commitments_(*commitments),
      first_slot_(commitments->SlotBegin(now)),
      totals_(commitments->TotalsBySlot(now, end, minimums)) {}

FittingGrant GrantPlanner::Fit(GatewayId gateway, std::uint64_t incarnation, MilliUnits rate, Time min_end,
                               Time max_end) const {
  const Allocation minimum = minimums_.Of(gateway);
  Time begin = first_slot_;
  for (const Allocation& total : totals_) {
    if (begin >= max_end) break;
    const Allocation own = commitments_.At(gateway, begin, minimum);
    const Allocation others = total - own + commitments_.OfOtherIncarnations(gateway, begin, incarnation);
    const Allocation capacity = Allocation{budget_.rate, budget_.burst} - others;
    const MilliUnits fitting = LargestRateWithin(budget_, capacity);
    if (fitting < rate && begin >= min_end) return {AllocationForRate(budget_, rate), begin};
    rate = std::min(rate, fitting);
    begin += commitments_.slot();
  }
  return {AllocationForRate(budget_, rate), max_end};
}

void GrantPlanner::Add(GatewayId gateway, const OutstandingGrant& grant) {
  const Allocation minimum = minimums_.Of(gateway);
  const auto slot_begin = [&](std::size_t slot) {
    return first_slot_ + static_cast<int>(slot) * commitments_.slot();
  };
  std::vector<Allocation> before;
  for (std::size_t slot = 0; slot < totals_.size(); ++slot)
    before.push_back(commitments_.At(gateway, slot_begin(slot), minimum));
  commitments_.Add(gateway, grant);
  for (std::size_t slot = 0; slot < totals_.size(); ++slot)
    totals_[slot] = totals_[slot] + commitments_.At(gateway, slot_begin(slot), minimum) - before[slot];
}

}  // namespace load_balancer::quota
