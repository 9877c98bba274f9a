// SPDX-License-Identifier: Apache-2.0
#include "model/quota/search.h"

#include <algorithm>
#include <sstream>

#include "model/quota/scenario.h"

namespace load_balancer::model {
namespace {

using quota::MilliUnits;

struct Bound {
  MilliUnits rate = 0, burst = 0;
};

// The larger of all files, as the partner has it in each.
Bound LargestOf(const Scenario& scenario, const std::string& partner) {
  Bound bound;
  for (const auto& file : scenario.files())
    if (const auto budget = file->partners.find(partner); budget != file->partners.end()) {
      bound.rate = std::max(bound.rate, budget->second.rate);
      bound.burst = std::max(bound.burst, budget->second.burst);
    }
  return bound;
}

std::optional<QuotaFinding> Check(std::uint64_t seed, const std::string& partner,
                                  const std::vector<Admission>& admitted, const Bound& bound) {
  const auto over = FindOverspend(admitted, bound.rate, bound.burst);
  if (!over) return std::nullopt;
  std::ostringstream text;
  text << partner << " overspent by " << over->over << " from "
       << static_cast<double>(over->from.count()) / 1e6 << " ms to "
       << static_cast<double>(over->to.count()) / 1e6 << " ms of seed " << seed;
  return QuotaFinding{seed, partner, over->over, text.str()};
}

// What was admitted once a change of files must hold everywhere.
std::optional<QuotaFinding> CheckLater(std::uint64_t seed, const Scenario& scenario,
                                       const std::string& partner, const std::vector<Admission>& admitted) {
  const quota::Timings& timings = scenario.options().timings;
  const Moment held = scenario.reloaded() + timings.max_grant_lifetime + timings.clock_drift;
  std::vector<Admission> later;
  for (const Admission& admission : admitted)
    if (admission.at >= held) later.push_back(admission);
  const auto& last = scenario.files().back()->partners;
  const auto budget = last.find(partner);
  if (budget != last.end()) return Check(seed, partner, later, {budget->second.rate, budget->second.burst});
  if (later.empty()) return std::nullopt;
  return QuotaFinding{seed, partner, 0,
                      partner + " overspent by all after it was dropped, seed " + std::to_string(seed)};
}

}  // namespace

std::vector<Fault> QuotaFaults(std::uint64_t seed) { return Scenario(seed).Faults(); }

std::optional<QuotaFinding> PlayQuota(std::uint64_t seed, const std::vector<Fault>& faults) {
  Scenario scenario(seed);
  Gateways gateways(scenario.options(), scenario.files().front());
  scenario.Arrange(gateways);
  for (const Fault& fault : faults) Inject(gateways.world(), fault);
  gateways.world().RunUntil(Scenario::kRun);
  for (const auto& [partner, tally] : gateways.tallies()) {
    if (auto found = Check(seed, partner, tally.admitted, LargestOf(scenario, partner))) return found;
    if (scenario.reloaded() == Moment(0)) continue;
    if (auto found = CheckLater(seed, scenario, partner, tally.admitted)) return found;
  }
  return std::nullopt;
}

}  // namespace load_balancer::model
