// SPDX-License-Identifier: Apache-2.0
#include "overflow/section.h"

#include <algorithm>

#include "base/config/section.h"

namespace load_balancer::overflow {

OverflowSection ReadOverflowSection(const nlohmann::json& root, std::vector<std::string>* faults) {
  OverflowSection overflow;
  Section section(root, "spill",
                  {"most_part", "estimate_interval_ms", "staleness_ms", "way_ms", "least_worth_per_work",
                   "slack_ms", "key_ttl_ms"},
                  faults);
  overflow.on = section.present();
  Options& options = overflow.options;
  section.Real("most_part", 0.01, 1, &options.offered_fraction);
  section.Time("estimate_interval_ms", 50, 60000, &options.estimate_interval);
  section.Time("staleness_ms", 100, 600000, &options.staleness);
  section.Time("way_ms", 0, 10000, &options.propagation_time);
  section.Real("least_worth_per_work", 0, 1e9, &options.min_weight_per_work);
  section.Time("slack_ms", 1, 10000, &options.slack);
  section.Time("key_ttl_ms", 0, 600000, &options.key_ttl);
  // The previous estimate must not be stale yet if one estimate is lost.
  if (overflow.on && options.staleness < options.estimate_interval * 2)
    faults->push_back("spill.staleness_ms is less than 2 times spill.estimate_interval_ms");
  return overflow;
}

void CheckOverflowSection(const OverflowSection& section, const Directory& sites, const std::string& own_site,
                          Milliseconds lease_term, std::vector<std::string>* faults) {
  if (!section.on) return;
  if (sites.empty()) return faults->push_back("spill needs the section sites");
  if (!sites.contains(own_site)) faults->push_back("spill: sites.gateways does not list sites.site");
  const bool has_other_site = std::any_of(sites.begin(), sites.end(), [&](const auto& site) {
    return site.first != own_site && !site.second.empty();
  });
  if (!has_other_site) faults->push_back("spill: sites.gateways lists no gateway of another site");
  if (lease_term.count() == 0)
    faults->push_back("spill: fleet.lease_term_ms is missing, as the ambassador needs a lease");
}

}  // namespace load_balancer::overflow
