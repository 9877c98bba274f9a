// SPDX-License-Identifier: Apache-2.0
#include "quota/budget.h"

#include <xxhash.h>

namespace load_balancer::quota {

Part PartOf(const Budget& budget, Milli rate) {
  if (budget.rate <= 0) return {};
  return {rate, rate * budget.burst / budget.rate};
}

Part FloorOf(const Budget& budget, const std::string& site, std::size_t gateways) {
  const auto floor = budget.floors.find(site);
  if (floor == budget.floors.end() || gateways == 0) return {};
  return PartOf(budget, floor->second / static_cast<Milli>(gateways));
}

Milli SlowedRate(Milli rate, const Timings& timings) {
  const Milli term = std::chrono::floor<std::chrono::milliseconds>(timings.term).count();
  const Milli drift = std::chrono::ceil<std::chrono::milliseconds>(timings.drift).count();
  return rate * term / (term + drift);
}

std::size_t AllocatorOf(std::string_view partner, std::size_t allocators) {
  return XXH3_64bits(partner.data(), partner.size()) % allocators;
}

}  // namespace load_balancer::quota
