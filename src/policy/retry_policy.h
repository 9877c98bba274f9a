// SPDX-License-Identifier: Apache-2.0
// Whether a request may be sent (again) or refused, by what its attempts may have done.
#ifndef LOAD_BALANCER_SRC_POLICY_RETRY_POLICY_H_
#define LOAD_BALANCER_SRC_POLICY_RETRY_POLICY_H_

#include "policy/request.h"

namespace load_balancer {

constexpr double kWindowMargin = 0.9;  // of the window in which a keyed repeat is dropped
constexpr double kRetryRatio = 0.1;    // repeats a first send earns: bounds a storm to a tenth
constexpr double kRetryBurst = 20;     // repeats in store

// What may be done with a request now. With an anchor: only at servers that drop this one's repeats.
struct Permission {
  bool dispatch = false, refuse = false;
  const Server* anchor = nullptr;
};

// The one place that decides it.
inline Permission Permitted(const Request& r, TimePoint now, const std::vector<Server>& servers) {
  Permission may;
  if (r.finished || r.streaming) return may;
  may.dispatch = now < r.due && static_cast<int>(r.attempts.size()) < r.most_attempts && !r.Outstanding() &&
                 r.is_replayable;
  may.refuse = true;
  const auto first_run =
      std::find_if(r.attempts.begin(), r.attempts.end(), [](const Attempt& a) { return a.may_have_run; });
  if (first_run == r.attempts.end() || r.rules.idempotency == Idempotency::kIdempotent) return may;
  may.refuse = r.rules.idempotency == Idempotency::kIdempotencyKey &&
               r.rules.idempotency_scope == IdempotencyScope::kAll;
  may.dispatch &= r.rules.idempotency == Idempotency::kIdempotencyKey &&
                  now - first_run->sent_at <= r.rules.idempotency_window * kWindowMargin;
  may.anchor = &servers[first_run->server];
  return may;
}

}  // namespace load_balancer

#endif  // LOAD_BALANCER_SRC_POLICY_RETRY_POLICY_H_
