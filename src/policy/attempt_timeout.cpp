// SPDX-License-Identifier: Apache-2.0
#include "policy/attempt_timeout.h"

namespace load_balancer {
namespace {

bool MayRetryAfterNextAttempt(const Request& request) {
  const int attempts = static_cast<int>(request.attempts.size()) + 1;
  return request.rules.idempotency != Idempotency::kNotIdempotent && !request.is_body_pending &&
         attempts < request.max_attempts;
}

}  // namespace

Duration AttemptTimeout(const Request& request, const Server& server, bool has_retry_token, TimePoint now) {
  const ClassStatistics& statistics = *request.statistics;
  if (!MayRetryAfterNextAttempt(request) || !has_retry_token || !statistics.has_enough_samples())
    return Duration(0);
  if (server.load.attempts() == 0) return Duration(0);
  const Duration latency_bound = statistics.LatencyUpperBound(request.work);
  const bool is_silent = !(now - server.load.silent_since() < latency_bound);
  const MeanAndDeviation& latency = statistics.latency;
  const Duration retry((latency.mean() + latency.deviation()) * statistics.LatencyScale(request.work));
  const bool is_retry_in_time = now + latency_bound + retry <= request.due;
  return is_silent && is_retry_in_time ? latency_bound : Duration(0);
}

}  // namespace load_balancer
