// SPDX-License-Identifier: Apache-2.0
#include "policy/retry_policy.h"

#include <algorithm>

namespace load_balancer {
namespace {

// A retry is written only within this share of the idempotency window. The rest is left for delays.
constexpr double kWindowMargin = 0.9;
// Time by which a write may follow the reading of the clock, in ms.
constexpr Duration kMaxWriteDelay{150};
// Share of the remaining time in which an attempt is to be written if another attempt may follow.
constexpr double kWriteShare = 0.5;

// Returns the time from the first attempt within which a retry must be written.
Duration RetryWindow(const ClassSettings& rules) {
  const Duration window = rules.idempotency_window;
  return std::min(window * kWindowMargin, window - kMaxWriteDelay);
}

}  // namespace

Permission PermissionFor(const Request& request, TimePoint now, const ServerList& servers) {
  Permission permission;
  if (request.is_finished || request.is_streaming) return permission;
  const bool has_attempt_left = static_cast<int>(request.attempts.size()) < request.max_attempts;
  permission.may_dispatch =
      now < request.due && has_attempt_left && !request.HasOutstandingAttempt() && request.is_replayable;
  permission.may_reject = true;
  const auto first_run = std::find_if(request.attempts.begin(), request.attempts.end(),
                                      [](const Attempt& attempt) { return attempt.may_have_run; });
  const Idempotency idempotency = request.rules.idempotency;
  if (first_run == request.attempts.end() || idempotency == Idempotency::kIdempotent) return permission;
  permission.may_reject = idempotency == Idempotency::kIdempotencyKey &&
                          request.rules.idempotency_scope == IdempotencyScope::kAll;
  if (idempotency == Idempotency::kIdempotencyKey)
    permission.write_before = first_run->sent_at + RetryWindow(request.rules);
  const bool may_run_again = idempotency == Idempotency::kIdempotencyKey && now < permission.write_before;
  permission.may_dispatch = permission.may_dispatch && may_run_again;
  permission.first_run_server = &servers.at(first_run->server);
  return permission;
}

Duration WriteTimeout(const Request& request, const Permission& permission, TimePoint now) {
  if (permission.write_before == kNever) return Duration(0);
  const bool is_last_attempt = static_cast<int>(request.attempts.size()) + 1 >= request.max_attempts;
  return (permission.write_before - now) * (is_last_attempt ? 1 : kWriteShare);
}

}  // namespace load_balancer
