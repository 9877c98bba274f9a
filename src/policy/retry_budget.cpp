// SPDX-License-Identifier: Apache-2.0
#include "policy/retry_budget.h"

#include <algorithm>

namespace load_balancer {

void RetryBudget::RecordFirstAttempt() { tokens_ = std::min(kMaxTokens, tokens_ + kTokensPerFirstAttempt); }

// The budget may be empty, as retries that add no load need no token.
void RetryBudget::RecordRetry() { tokens_ = std::max(0.0, tokens_ - 1); }

}  // namespace load_balancer
