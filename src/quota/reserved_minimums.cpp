// SPDX-License-Identifier: Apache-2.0
#include "quota/reserved_minimums.h"

namespace load_balancer::quota {
namespace {

Allocation MinimumAt(const Budgets& budgets, const std::string& partner, const SiteSize& site) {
  const auto budget = budgets.partners.find(partner);
  if (budget == budgets.partners.end()) return {};
  return ReservedMinimumOf(budget->second, site.name, site.gateways);
}

}  // namespace

ReservedMinimums::ReservedMinimums(const std::string& partner, const GatewayRegistry& gateways,
                                   const BudgetRevisions& revisions)
    : gateways_(&gateways), has_current_(&revisions.has_current) {
  for (const SiteSize& site : gateways.sites()) {
    current_.push_back(MinimumAt(*revisions.current, partner, site));
    Allocation largest = current_.back();
    for (const auto& previous : revisions.previous)
      largest = ElementwiseMax(largest, MinimumAt(*previous, partner, site));
    largest_.push_back(largest);
  }
  if (largest_ != current_) {
    for (GatewayId gateway = 0; gateway < gateways.size(); ++gateway) total_ = total_ + Of(gateway);
    return;
  }
  largest_.clear();
  for (std::size_t site = 0; site < current_.size(); ++site) {
    const auto count = static_cast<MilliUnits>(gateways.sites()[site].gateways);
    total_ = total_ + Allocation{current_[site].rate * count, current_[site].depth * count};
  }
}

}  // namespace load_balancer::quota
