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

// Returns the largest rate and burst of the partner in all revisions.
Bound LargestBudget(const QuotaScenario& scenario, const std::string& partner) {
  Bound bound;
  for (const auto& revision : scenario.revisions())
    if (const auto budget = revision->partners.find(partner); budget != revision->partners.end()) {
      bound.rate = std::max(bound.rate, budget->second.rate);
      bound.burst = std::max(bound.burst, budget->second.burst);
    }
  return bound;
}

std::optional<QuotaFinding> Check(std::uint64_t seed, const std::string& partner,
                                  const std::vector<Admission>& admitted, const Bound& bound) {
  const auto overspend = FindOverspend(admitted, bound.rate, bound.burst);
  if (!overspend) return std::nullopt;
  std::ostringstream text;
  text << partner << " overspent by " << overspend->excess << " from "
       << static_cast<double>(overspend->from.count()) / 1e6 << " ms to "
       << static_cast<double>(overspend->to.count()) / 1e6 << " ms of seed " << seed;
  return QuotaFinding{seed, partner, overspend->excess, text.str()};
}

// Checks the admissions after the time at which the last revision must be in force at all gateways.
std::optional<QuotaFinding> CheckAfterReload(std::uint64_t seed, const QuotaScenario& scenario,
                                             const std::string& partner,
                                             const std::vector<Admission>& admitted) {
  const quota::Timings& timings = scenario.options().timings;
  const Moment in_force_at = scenario.all_reloaded_at() + timings.max_grant_lifetime + timings.clock_drift;
  std::vector<Admission> later;
  for (const Admission& admission : admitted)
    if (admission.at >= in_force_at) later.push_back(admission);
  const auto& last_partners = scenario.revisions().back()->partners;
  const auto budget = last_partners.find(partner);
  if (budget != last_partners.end())
    return Check(seed, partner, later, {budget->second.rate, budget->second.burst});
  if (later.empty()) return std::nullopt;
  return QuotaFinding{seed, partner, 0,
                      partner +
                          " overspent by all its requests after it was removed from the budgets, seed " +
                          std::to_string(seed)};
}

}  // namespace

std::vector<Fault> DrawQuotaFaults(std::uint64_t seed) { return QuotaScenario(seed).Faults(); }

std::optional<QuotaFinding> RunQuotaScenario(std::uint64_t seed, const std::vector<Fault>& faults) {
  QuotaScenario scenario(seed);
  Gateways gateways(scenario.options(), scenario.revisions().front());
  scenario.ScheduleEvents(gateways);
  for (const Fault& fault : faults) Inject(gateways.world(), fault);
  gateways.world().RunUntil(QuotaScenario::kRunLength);
  for (const auto& [partner, tally] : gateways.tallies()) {
    if (auto found = Check(seed, partner, tally.admissions, LargestBudget(scenario, partner))) return found;
    if (scenario.all_reloaded_at() == Moment(0)) continue;
    if (auto found = CheckAfterReload(seed, scenario, partner, tally.admissions)) return found;
  }
  return std::nullopt;
}

}  // namespace load_balancer::model
