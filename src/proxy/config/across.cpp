// SPDX-License-Identifier: Apache-2.0
#include "config/across.h"

#include <string>
#include <utility>
#include <vector>

namespace load_balancer::proxy {
namespace {

quota::SiteLayout LayoutOf(const fleet::SitesSection& sites) {
  quota::SiteLayout layout;
  for (const auto& [site, gateways] : sites.gateways)
    for (const auto& [name, at] : gateways) layout[site].insert(name);
  return layout;
}

overflow::Directory DirectoryOf(const fleet::SitesSection& sites) {
  overflow::Directory directory;
  for (const auto& [site, gateways] : sites.gateways)
    for (const auto& [name, at] : gateways) directory[site][name] = {at.pool, at.clients};
  return directory;
}

}  // namespace

void CheckAcross(const Config& config) {
  std::vector<std::string> faults;
  fleet::CheckSelf(config.sites, config.name, config.listen, &faults);
  if (config.sites.on && !config.fleet.on) faults.push_back("fleet is missing, which sites needs");
  if (config.sites.on && config.fleet.bind == config.sites.bind)
    faults.push_back("sites.bind is fleet.bind, too");
  if (config.quota.on && !config.sites.on) faults.push_back("quota needs the section sites");
  if (config.quota.on && config.sites.on)
    quota::CheckQuota(config.quota, LayoutOf(config.sites), {config.tenants.begin(), config.tenants.end()},
                      config.sites.lease_term, config.sites.lease_drift, &faults);
  overflow::CheckOverflowSection(config.spill, DirectoryOf(config.sites), config.sites.site,
                                 config.fleet.lease_term, &faults);
  if (!faults.empty()) throw BadConfig(std::move(faults));
}

}  // namespace load_balancer::proxy
