// SPDX-License-Identifier: Apache-2.0
#include "policy/request.h"

#include <algorithm>
#include <cmath>

namespace load_balancer {
namespace {

constexpr double kUnlikelyDeviations = 4;  // as RFC 6298
constexpr int kMinKnownSamples = 10;
constexpr double kTimeoutTolerance = 0.04;  // fraction by which equal time-outs may differ
constexpr int kMaxTimeoutVotes = 50;
constexpr int kEstablishedTimeoutVotes = 10;  // below, clients may differ widely

}  // namespace

bool UsualTimeout::Observe(Duration allowed, bool is_client_retry) {
  if (std::abs((allowed - usual_).count()) <= kTimeoutTolerance * usual_.count()) {
    votes_ = std::min(kMaxTimeoutVotes, votes_ + 1);
    return true;
  }
  if (is_client_retry) return false;  // it may have been cut short by the client's deadline
  --votes_;
  if (votes_ < 0) {
    usual_ = allowed;
    votes_ = 0;
  }
  return false;
}

bool UsualTimeout::is_established() const { return votes_ >= kEstablishedTimeoutVotes; }

double ClassStatistics::ScaleOf(double work_ms) const {
  const double ratio = work.mean() > 0 ? work_ms / work.mean() : 1;
  return ratio > 1 ? ratio : 0.5 + 0.5 * ratio;
}

Duration ClassStatistics::UnlikelyLatency(double work_ms) const {
  return Duration((latency.mean() + kUnlikelyDeviations * latency.deviation()) * ScaleOf(work_ms));
}

bool ClassStatistics::is_known() const { return latency.samples() >= kMinKnownSamples; }

bool Request::HasOutstandingAttempt() const {
  return std::any_of(attempts.begin(), attempts.end(),
                     [](const Attempt& attempt) { return attempt.is_outstanding; });
}

}  // namespace load_balancer
