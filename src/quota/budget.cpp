// SPDX-License-Identifier: Apache-2.0
#include "quota/budget.h"

#include <xxhash.h>

namespace load_balancer::quota {

Allocation AllocationForRate(const Budget& budget, MilliUnits rate) {
  if (budget.rate <= 0) return {};
  return {rate, rate * budget.burst / budget.rate};
}

Allocation ReservedMinimumOf(const Budget& budget, const std::string& site, std::size_t gateways) {
  const auto minimum = budget.reserved_minimums.find(site);
  if (minimum == budget.reserved_minimums.end() || gateways == 0) return {};
  return AllocationForRate(budget, minimum->second / static_cast<MilliUnits>(gateways));
}

MilliUnits SlowedRate(MilliUnits rate, const Timings& timings) {
  const MilliUnits term = std::chrono::floor<std::chrono::milliseconds>(timings.lease_term).count();
  const MilliUnits drift = std::chrono::ceil<std::chrono::milliseconds>(timings.clock_drift).count();
  return rate * term / (term + drift);
}

std::size_t AllocatorOf(std::string_view partner, std::size_t allocators) {
  return XXH3_64bits(partner.data(), partner.size()) % allocators;
}

}  // namespace load_balancer::quota
