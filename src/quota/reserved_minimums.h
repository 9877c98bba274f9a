// SPDX-License-Identifier: Apache-2.0
//
/// @file
/// The reserved minimums of one partner's budget, by gateway: what each may use without a grant.
#ifndef LOAD_BALANCER_QUOTA_RESERVED_MINIMUMS_H_
#define LOAD_BALANCER_QUOTA_RESERVED_MINIMUMS_H_

#include <string>
#include <vector>

#include "quota/budget_revisions.h"
#include "quota/gateway_registry.h"

namespace load_balancer::quota {

/// A gateway that may still have earlier budgets counts with the largest reserved minimum of all of them.
class ReservedMinimums {
 public:
  /// Refers to `gateways` and `revisions`, which must outlive this.
  ReservedMinimums(const std::string& partner, const GatewayRegistry& gateways,
                   const BudgetRevisions& revisions);

  /// The most that the gateway may have as its reserved minimum.
  Allocation Of(GatewayId gateway) const {
    const bool is_certain = largest_.empty() || (*has_current_)[gateway];
    return (is_certain ? current_ : largest_)[gateways_->site(gateway)];
  }
  /// The gateway's reserved minimum by the current budgets, whichever it has.
  Allocation CurrentOf(GatewayId gateway) const { return current_[gateways_->site(gateway)]; }
  /// The sum of Of over all gateways.
  Allocation total() const { return total_; }

 private:
  const GatewayRegistry* gateways_;
  const std::vector<bool>* has_current_;
  std::vector<Allocation> current_;  // of one gateway, by site
  std::vector<Allocation> largest_;  // of all budgets, likewise; empty if there is no difference
  Allocation total_;
};

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_RESERVED_MINIMUMS_H_
