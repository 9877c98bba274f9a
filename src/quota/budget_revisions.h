// SPDX-License-Identifier: Apache-2.0
//
/// @file
/// Tracks which gateways already have the allocator's current budgets while a new configuration file is
/// rolled out.
#ifndef LOAD_BALANCER_QUOTA_BUDGET_REVISIONS_H_
#define LOAD_BALANCER_QUOTA_BUDGET_REVISIONS_H_

#include <memory>
#include <vector>

#include "quota/budget.h"
#include "quota/gateway_registry.h"

namespace load_balancer::quota {

/// The current budgets, the earlier budgets that gateways may still have instead, and the gateways that have
/// confirmed the current budgets.
struct BudgetRevisions {
  std::shared_ptr<const Budgets> current;
  /// Earlier budgets that gateways may still have. Empty once all gateways have confirmed the current ones.
  std::vector<std::shared_ptr<const Budgets>> previous;
  std::vector<bool> has_current;         ///< By gateway: whether it has reported the current revision.
  std::size_t current_count = 0;         ///< The number of gateways that have reported the current revision.
  Time all_current_since = Time::min();  ///< When the last missing gateway reported it.

  /// Returns whether gateways may use raised reserved minimums. The result is true once all gateways have had
  /// the current budgets for `wait`, because no grant of earlier budgets is in force then.
  bool IsAgreed(Time now, Span wait) const {
    return current_count == has_current.size() && now - wait >= all_current_since;
  }
  /// Records whether a gateway has the current revision.
  void OnReport(Time now, GatewayId gateway, bool is_current);
  /// Replaces the current budgets.
  void Update(std::shared_ptr<const Budgets> budgets);
};

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_BUDGET_REVISIONS_H_
