// SPDX-License-Identifier: Apache-2.0
//
/// @file
/// Tracks which gateways have an allocator's current budgets while a new configuration file is rolled out.
#ifndef LOAD_BALANCER_QUOTA_BUDGET_REVISIONS_H_
#define LOAD_BALANCER_QUOTA_BUDGET_REVISIONS_H_

#include <memory>
#include <vector>

#include "quota/budget.h"
#include "quota/gateway_registry.h"

namespace load_balancer::quota {

/// The current budgets, those that gateways may still have instead, and which gateways confirmed the current
/// ones.
struct BudgetRevisions {
  std::shared_ptr<const Budgets> current;
  /// Budgets that gateways may still have, since the last time that all had the same.
  std::vector<std::shared_ptr<const Budgets>> previous;
  std::vector<bool> has_current;         ///< By gateway: it has reported the current revision.
  std::size_t current_count = 0;         ///< How many gateways these are.
  Time all_current_since = Time::min();  ///< Since when these are all.

  /// Whether a reserved minimum that was raised may be used: all gateways have had the current budgets for
  /// `wait`, so that no grant by earlier budgets is left.
  bool IsAgreed(Time now, Span wait) const {
    return current_count == has_current.size() && now - wait >= all_current_since;
  }
  /// A gateway has reported its revision.
  void OnReport(Time now, GatewayId gateway, bool is_current);
  /// Replaces the current budgets.
  void Update(std::shared_ptr<const Budgets> budgets);
};

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_BUDGET_REVISIONS_H_
