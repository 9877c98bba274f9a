// SPDX-License-Identifier: Apache-2.0
#include "quota/reserved_minimums.h"

namespace load_balancer::quota {

Gateways::Gateways(const Layout& layout) {
  for (const auto& [site, names] : layout) {
    for (const std::string& name : names) {
      by_name_.emplace(name, static_cast<GatewayId>(names_.size()));
      names_.push_back(name);
      sites_of_.push_back(sites_.size());
    }
    sites_.emplace_back(site, names.size());
  }
}

const GatewayId* Gateways::Find(const std::string& name) const {
  const auto found = by_name_.find(name);
  return found == by_name_.end() ? nullptr : &found->second;
}

void Revisions::Hear(Time now, GatewayId gateway, bool present_one) {
  if (heard[gateway] == present_one) return;
  heard[gateway] = present_one;
  count = present_one ? count + 1 : count - 1;
  if (count < heard.size()) return;
  complete = now;
  before.clear();
}

void Revisions::Renew(std::shared_ptr<const Budgets> budgets) {
  before.push_back(std::move(present));
  present = std::move(budgets);
  heard.assign(heard.size(), false);
  count = 0;
}

Floors::Floors(const std::string& partner, const Gateways& gateways, const Revisions& revisions)
    : gateways_(&gateways), heard_(&revisions.heard) {
  const auto of = [&](const Budgets& budgets, std::size_t site) {
    const auto& [name, size] = gateways.sites()[site];
    const auto budget = budgets.partners.find(partner);
    return budget == budgets.partners.end() ? Part{} : FloorOf(budget->second, name, size);
  };
  for (std::size_t site = 0; site < gateways.sites().size(); ++site) {
    sure_.push_back(of(*revisions.present, site));
    Part doubtful = sure_.back();
    for (const auto& before : revisions.before) doubtful = Larger(doubtful, of(*before, site));
    doubtful_.push_back(doubtful);
  }
  if (doubtful_ != sure_) {
    for (GatewayId gateway = 0; gateway < gateways.size(); ++gateway) total_ = total_ + Of(gateway);
    return;
  }
  doubtful_.clear();
  for (std::size_t site = 0; site < sure_.size(); ++site) {
    const auto size = static_cast<Milli>(gateways.sites()[site].second);
    total_ = total_ + Part{sure_[site].rate * size, sure_[site].depth * size};
  }
}

}  // namespace load_balancer::quota
