// SPDX-License-Identifier: Apache-2.0
#include "quota/budget_revisions.h"

#include <utility>

namespace load_balancer::quota {

void BudgetRevisions::OnReport(Time now, GatewayId gateway, bool is_current) {
  if (has_current[gateway] == is_current) return;
  has_current[gateway] = is_current;
  if (is_current)
    ++current_count;
  else
    --current_count;
  if (current_count < has_current.size()) return;
  all_current_since = now;
  previous.clear();
}

void BudgetRevisions::Update(std::shared_ptr<const Budgets> budgets) {
  previous.push_back(std::move(current));
  current = std::move(budgets);
  has_current.assign(has_current.size(), false);
  current_count = 0;
}

}  // namespace load_balancer::quota
