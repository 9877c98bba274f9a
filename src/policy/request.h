// SPDX-License-Identifier: Apache-2.0
/// @file
/// What is kept of a request, its attempts and its class.
#ifndef LOAD_BALANCER_SRC_POLICY_REQUEST_H_
#define LOAD_BALANCER_SRC_POLICY_REQUEST_H_

#include <memory>
#include <vector>

#include "policy/server.h"

namespace load_balancer {

/// The time that clients of a class usually allow for an attempt, found by vote.
class UsualTimeout {
 public:
  /// Counts the time that a request allows; true if it is the usual one.
  bool Observe(Duration allowed, bool is_client_retry);

  /// Enough requests agree.
  [[nodiscard]] bool is_established() const;

 private:
  Duration usual_{0};
  int votes_ = 0;
};

/// What this proxy has measured of a class of requests.
struct ClassStatistics {
  MeanAndDeviation latency;  ///< response time in ms over ScaleOf the request's work
  MeanAndDeviation work;     ///< hinted work
  UsualTimeout usual_timeout;

  /// How response times of this class are expected to grow with the hinted work; 1 for mean work.
  [[nodiscard]] double ScaleOf(double work_ms) const;

  /// The time that a response hardly exceeds: mean + 4 deviations, as RFC 6298 sets time-outs.
  [[nodiscard]] Duration UnlikelyLatency(double work_ms) const;

  /// There are enough responses to judge by.
  [[nodiscard]] bool is_known() const;
};

struct Attempt {
  ServerIndex server = 0;
  TimePoint sent_at{};
  TimePoint overdue_at{};  ///< the response is not expected any more then
  bool is_outstanding = true;
  bool may_have_run = true;
};

/// A request from its arrival until it has its final response and no attempt is outstanding.
struct Request {
  RequestId id = 0;
  ClassSettings rules{};  ///< of its class when it arrived
  std::shared_ptr<ClassStatistics> statistics{};
  int max_attempts = 1;
  double work = 1;   ///< hinted, or the mean; ms on a standard core
  double value = 0;  ///< priority weight that its response can still earn
  std::uint64_t key = 0;
  TimePoint arrived{};
  TimePoint due{};
  TimePoint reject_at{};  ///< it is queued no longer than this
  std::vector<Attempt> attempts{};
  TimePoint response_began{};
  bool is_finished = false;
  bool is_streaming = false;
  bool is_queued = false;
  bool is_replayable = true;
  bool is_body_pending = false;
  bool is_overflow = false;

  [[nodiscard]] bool HasOutstandingAttempt() const;
};

}  // namespace load_balancer

#endif  // LOAD_BALANCER_SRC_POLICY_REQUEST_H_
