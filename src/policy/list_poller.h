// SPDX-License-Identifier: Apache-2.0
/// @file
/// Polling of discovery for the endpoint list, where discovery does not push it.
#ifndef LOAD_BALANCER_SRC_POLICY_LIST_POLLER_H_
#define LOAD_BALANCER_SRC_POLICY_LIST_POLLER_H_

#include "policy/context.h"
#include "policy/statistics.h"

namespace load_balancer {

/// Emits Subscribe often enough to keep within Settings::max_poll_interval. Applies a jittered exponential
/// backoff after failures.
class ListPoller {
 public:
  explicit ListPoller(Context& context) : context_(context) {}

  /// Handles an update that has arrived or, with ListKind::kFailed, a poll that has failed.
  void HandleUpdate(ListKind kind);

  void PollIfDue();

  [[nodiscard]] TimePoint next_poll() const { return next_poll_; }  ///< kNever if no poll is due

 private:
  void BackOff();

  Context& context_;
  TimePoint next_poll_ = kNever;
  Duration backoff_{0};
};

}  // namespace load_balancer

#endif  // LOAD_BALANCER_SRC_POLICY_LIST_POLLER_H_
