// SPDX-License-Identifier: Apache-2.0
#include "policy/retry_budget.h"

#include <algorithm>

namespace load_balancer {

void RetryBudget::RecordFirstAttempt() { tokens_ = std::min(kMaxTokens, tokens_ + kTokensPerFirstAttempt); }

// Retries that add no load are made without a token, too.
void RetryBudget::RecordRetry() { tokens_ = std::max(0.0, tokens_ - 1); }

}  // namespace load_balancer
