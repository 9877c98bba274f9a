// SPDX-License-Identifier: Apache-2.0
#include "policy/request.h"

#include <algorithm>
#include <cmath>

namespace load_balancer {
namespace {

constexpr double kLatencyBoundDeviations = 4;  // as in RFC 6298
constexpr int kMinSamples = 10;
constexpr double kTimeoutTolerance = 0.04;  // relative difference up to which time-outs count as equal
constexpr int kMaxTimeoutVotes = 50;
constexpr int kEstablishedTimeoutVotes = 10;  // with fewer votes, clients may have very different time-outs

}  // namespace

bool UsualTimeout::Observe(Duration timeout, bool is_client_retry) {
  if (std::abs((timeout - usual_).count()) <= kTimeoutTolerance * usual_.count()) {
    votes_ = std::min(kMaxTimeoutVotes, votes_ + 1);
    return true;
  }
  if (is_client_retry) return false;  // the client's deadline may have shortened the retry's time-out
  --votes_;
  if (votes_ < 0) {
    usual_ = timeout;
    votes_ = 0;
  }
  return false;
}

bool UsualTimeout::is_established() const { return votes_ >= kEstablishedTimeoutVotes; }

double ClassStatistics::LatencyScale(double work_ms) const {
  const double ratio = work.mean() > 0 ? work_ms / work.mean() : 1;
  return ratio > 1 ? ratio : 0.5 + 0.5 * ratio;
}

Duration ClassStatistics::LatencyUpperBound(double work_ms) const {
  return Duration((latency.mean() + kLatencyBoundDeviations * latency.deviation()) * LatencyScale(work_ms));
}

bool ClassStatistics::has_enough_samples() const { return latency.samples() >= kMinSamples; }

bool Request::HasOutstandingAttempt() const {
  return std::any_of(attempts.begin(), attempts.end(),
                     [](const Attempt& attempt) { return attempt.is_outstanding; });
}

}  // namespace load_balancer
