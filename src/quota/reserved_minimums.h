// SPDX-License-Identifier: Apache-2.0
//
/// @file
/// The reserved minimums of one partner's budget: the allocation that each gateway may use without a grant.
#ifndef LOAD_BALANCER_QUOTA_RESERVED_MINIMUMS_H_
#define LOAD_BALANCER_QUOTA_RESERVED_MINIMUMS_H_

#include <string>
#include <vector>

#include "quota/budget_revisions.h"
#include "quota/gateway_registry.h"

namespace load_balancer::quota {

/// The reserved minimum of each gateway. For a gateway that may still have earlier budgets, this is
/// the largest of its reserved minimums in the current and the earlier budgets.
class ReservedMinimums {
 public:
  /// Keeps references to `gateways` and `revisions`, which must outlive this object.
  ReservedMinimums(const std::string& partner, const GatewayRegistry& gateways,
                   const BudgetRevisions& revisions);

  /// Returns the largest reserved minimum that the gateway may have.
  Allocation Of(GatewayId gateway) const {
    const bool is_certain = largest_.empty() || (*has_current_)[gateway];
    return (is_certain ? current_ : largest_)[gateways_->site(gateway)];
  }
  /// Returns the gateway's reserved minimum in the current budgets, even if the gateway does not have these
  /// budgets yet.
  Allocation CurrentOf(GatewayId gateway) const { return current_[gateways_->site(gateway)]; }
  /// Returns the sum of Of(gateway) over all gateways.
  Allocation total() const { return total_; }

 private:
  const GatewayRegistry* gateways_;
  const std::vector<bool>* has_current_;
  // The reserved minimum of each gateway of a site, by site, in the current budgets.
  std::vector<Allocation> current_;
  // The largest reserved minimum of each gateway of a site in all budgets that may be in use, by site. Empty
  // if it equals `current_`.
  std::vector<Allocation> largest_;
  Allocation total_;
};

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_RESERVED_MINIMUMS_H_
