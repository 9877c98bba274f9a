// SPDX-License-Identifier: Apache-2.0
#include "policy/list_poller.h"

#include <algorithm>

namespace load_balancer {
namespace {

// Longest time from a failed or unanswered poll to the next poll.
constexpr Duration kMaxUnansweredTime{3500};
// The same limit as a fraction of Settings::max_poll_interval; the shorter of the two applies.
constexpr double kUnansweredFraction = 0.9;
// Longest delay from the closing of a silent watch to the next poll.
constexpr Duration kMaxDelayAfterWatch{250};
// Bounds of the backoff: Settings::max_poll_interval divided by these.
constexpr double kMinBackoffDivisor = 20;
constexpr double kMaxBackoffDivisor = 4;

}  // namespace

void ListPoller::HandleUpdate(ListKind kind) {
  if (!context_.settings().must_poll_for_list) return;
  if (kind == ListKind::kFailed) return BackOff();
  backoff_ = Duration(0);
  next_poll_ = kind == ListKind::kCached ? context_.now() : kNever;  // no subscription exists after a restart
}

void ListPoller::BackOff() {
  const Duration max_interval = context_.settings().max_poll_interval;
  const Duration remaining = next_poll_ == kNever ? kMaxDelayAfterWatch : next_poll_ - context_.now();
  backoff_ = std::clamp(backoff_ * 2, max_interval / kMinBackoffDivisor, max_interval / kMaxBackoffDivisor);
  next_poll_ = context_.now() + std::min(backoff_, remaining) * (0.5 + 0.5 * context_.random().UniformReal());
}

void ListPoller::PollIfDue() {
  if (context_.now() < next_poll_) return;
  context_.Emit(Subscribe{});
  const Duration max_interval = context_.settings().max_poll_interval;
  next_poll_ = context_.now() + std::min(kMaxUnansweredTime, max_interval * kUnansweredFraction);
}

}  // namespace load_balancer
