// SPDX-License-Identifier: Apache-2.0
#include "quota/budget.h"

#include <xxhash.h>

namespace brackenspoke::quota {

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
  const Milli drift = std::chrono::ceil<std::chrono::microseconds>(timings.drift).count();
  const Milli two_terms = std::chrono::floor<std::chrono::microseconds>(2 * timings.term).count();
  const Milli ppm = (drift * 1'000'000 + two_terms - 1) / two_terms;
  return std::max<Milli>(0, rate - (rate * ppm + 999'999) / 1'000'000);
}

std::size_t TreasurerOf(std::string_view partner, std::size_t treasurers) {
  return XXH3_64bits(partner.data(), partner.size()) % treasurers;
}

}  // namespace brackenspoke::quota
