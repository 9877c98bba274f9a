// SPDX-License-Identifier: Apache-2.0
#include "quota/division.h"

#include <algorithm>

namespace load_balancer::quota {
namespace {

using Indices = std::vector<std::size_t>;

struct ClaimTotals {
  MilliUnits demand = 0;
  MilliUnits reserved_minimums = 0;
  MilliUnits largest_demand = 0;
};

MilliUnits ReservedDemand(const RateClaim& claim) { return std::min(claim.demand, claim.reserved_minimum); }

ClaimTotals Total(const std::vector<RateClaim>& claims, const Indices& selected) {
  ClaimTotals totals;
  for (const std::size_t i : selected) {
    totals.demand += claims[i].demand;
    totals.reserved_minimums += ReservedDemand(claims[i]);
    totals.largest_demand = std::max(totals.largest_demand, claims[i].demand);
  }
  return totals;
}

// Raises the rates of the selected claims to a common level. The other rates stay as they are.
void FillToCommonLevel(MilliUnits capacity, const std::vector<RateClaim>& claims, const Indices& selected,
                       std::vector<MilliUnits>* rates) {
  const ClaimTotals totals = Total(claims, selected);
  if (totals.demand <= capacity) {
    const MilliUnits spare = capacity - totals.demand;
    for (const std::size_t i : selected)
      (*rates)[i] = totals.demand == 0 ? 0 : claims[i].demand + spare * claims[i].demand / totals.demand;
    return;
  }
  const bool minimums_fit = totals.reserved_minimums <= capacity;
  const auto rate_at = [&](std::size_t i, MilliUnits level) {
    const MilliUnits minimum = minimums_fit ? ReservedDemand(claims[i]) : 0;
    return std::max(minimum, std::min(claims[i].demand, level));
  };
  // A bisection finds the highest level at which the rates fit into the capacity. That level is in [low,
  // high).
  MilliUnits low = 0;
  MilliUnits high = totals.largest_demand;
  while (high - low > 1) {
    const MilliUnits level = low + (high - low) / 2;
    MilliUnits sum = 0;
    for (const std::size_t i : selected) sum += rate_at(i, level);
    if (sum <= capacity)
      low = level;
    else
      high = level;
  }
  for (const std::size_t i : selected) (*rates)[i] = rate_at(i, low);
}

// Sorts the claims: those whose turn has not ended by `now` come first, then the others by the end of their
// last turn.
void SortByTurn(const std::vector<RateClaim>& claims, Time now, Indices* indices) {
  std::stable_sort(indices->begin(), indices->end(), [&](std::size_t left, std::size_t right) {
    const bool left_lasts = claims[left].turn_until > now;
    const bool right_lasts = claims[right].turn_until > now;
    if (left_lasts != right_lasts) return left_lasts;
    return claims[left].turn_until < claims[right].turn_until;
  });
}

}  // namespace

std::vector<MilliUnits> DivideRate(MilliUnits capacity, const std::vector<RateClaim>& claims, Time now) {
  std::vector<MilliUnits> rates(claims.size(), 0);
  capacity = std::max<MilliUnits>(capacity, 0);
  Indices all;
  for (std::size_t i = 0; i < claims.size(); ++i) all.push_back(i);
  FillToCommonLevel(capacity, claims, all, &rates);

  Indices useful;
  Indices too_small;
  MilliUnits turn_capacity = 0;  // the total rate of the claims that take turns
  for (const std::size_t i : all) {
    if (claims[i].demand > 0 && rates[i] < claims[i].min_useful_rate) {
      too_small.push_back(i);
      turn_capacity += rates[i];
    } else {
      useful.push_back(i);
    }
  }
  if (too_small.empty()) return rates;

  SortByTurn(claims, now, &too_small);
  turn_capacity = std::min(capacity, std::max(turn_capacity, claims[too_small.front()].min_useful_rate));
  MilliUnits assigned = 0;
  for (const std::size_t i : too_small) {
    rates[i] = assigned + claims[i].min_useful_rate <= turn_capacity ? claims[i].min_useful_rate : 0;
    assigned += rates[i];
  }
  FillToCommonLevel(capacity - assigned, claims, useful, &rates);
  return rates;
}

}  // namespace load_balancer::quota
