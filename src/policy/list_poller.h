// SPDX-License-Identifier: Apache-2.0
/// @file
/// When to ask discovery for the endpoint list, where it has to be polled.
#ifndef LOAD_BALANCER_SRC_POLICY_LIST_POLLER_H_
#define LOAD_BALANCER_SRC_POLICY_LIST_POLLER_H_

#include "policy/context.h"
#include "policy/statistics.h"

namespace load_balancer {

/// Emits Subscribe so that Settings::max_poll_interval is kept, with a jittered exponential backoff after
/// failures.
class ListPoller {
 public:
  explicit ListPoller(Context& context) : context_(context) {}

  /// An update has arrived, or a poll has failed.
  void HandleUpdate(ListKind kind);

  void PollIfDue();

  [[nodiscard]] TimePoint next_poll() const { return next_poll_; }  ///< kNever: none is due

 private:
  void BackOff();

  Context& context_;
  TimePoint next_poll_ = kNever;
  Duration backoff_{0};
};

}  // namespace load_balancer

#endif  // LOAD_BALANCER_SRC_POLICY_LIST_POLLER_H_
