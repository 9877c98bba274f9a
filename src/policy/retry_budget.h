// SPDX-License-Identifier: Apache-2.0
/// @file
/// A budget that bounds retries to a fraction of first attempts.
#ifndef LOAD_BALANCER_SRC_POLICY_RETRY_BUDGET_H_
#define LOAD_BALANCER_SRC_POLICY_RETRY_BUDGET_H_

namespace load_balancer {

/// A token bucket that first attempts fill and retries empty.
class RetryBudget {
 public:
  void RecordFirstAttempt();
  void RecordRetry();

  /// A retry that adds load is permitted.
  [[nodiscard]] bool HasToken() const { return tokens_ >= 1; }

 private:
  static constexpr double kTokensPerFirstAttempt = 0.1;  // bounds a retry storm to a tenth of the traffic
  static constexpr double kMaxTokens = 20;

  double tokens_ = kMaxTokens;
};

}  // namespace load_balancer

#endif  // LOAD_BALANCER_SRC_POLICY_RETRY_BUDGET_H_
