// SPDX-License-Identifier: Apache-2.0
#include "quota/gateway_registry.h"

namespace load_balancer::quota {

GatewayRegistry::GatewayRegistry(const SiteLayout& layout) {
  for (const auto& [site, names] : layout) {
    for (const std::string& name : names) {
      by_name_.emplace(name, static_cast<GatewayId>(names_.size()));
      names_.push_back(name);
      site_of_.push_back(sites_.size());
    }
    sites_.push_back({site, names.size()});
  }
}

const GatewayId* GatewayRegistry::Find(const std::string& name) const {
  const auto found = by_name_.find(name);
  return found == by_name_.end() ? nullptr : &found->second;
}

}  // namespace load_balancer::quota
