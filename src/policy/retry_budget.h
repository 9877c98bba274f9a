// SPDX-License-Identifier: Apache-2.0
/// @file
/// A budget that limits retries to a fraction of the first attempts.
#ifndef LOAD_BALANCER_SRC_POLICY_RETRY_BUDGET_H_
#define LOAD_BALANCER_SRC_POLICY_RETRY_BUDGET_H_

namespace load_balancer {

/// RetryBudget is a token bucket. First attempts add tokens, and retries remove them.
class RetryBudget {
 public:
  void RecordFirstAttempt();
  void RecordRetry();

  /// Returns whether a retry that adds load is permitted.
  [[nodiscard]] bool HasToken() const { return tokens_ >= 1; }

 private:
  // Limits retries to a tenth of the first attempts, which prevents retry storms.
  static constexpr double kTokensPerFirstAttempt = 0.1;
  static constexpr double kMaxTokens = 20;

  double tokens_ = kMaxTokens;
};

}  // namespace load_balancer

#endif  // LOAD_BALANCER_SRC_POLICY_RETRY_BUDGET_H_
