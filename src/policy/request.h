// SPDX-License-Identifier: Apache-2.0
/// @file
/// The state of a request, its attempts and its class.
#ifndef LOAD_BALANCER_SRC_POLICY_REQUEST_H_
#define LOAD_BALANCER_SRC_POLICY_REQUEST_H_

#include <memory>
#include <vector>

#include "policy/server.h"

namespace load_balancer {

/// Finds the time-out that clients of a class usually set for an attempt, by majority vote.
class UsualTimeout {
 public:
  /// Counts the time-out of a request; returns whether it is the usual one.
  bool Observe(Duration timeout, bool is_client_retry);

  /// Returns whether enough requests had the same time-out.
  [[nodiscard]] bool is_established() const;

 private:
  Duration usual_{0};
  int votes_ = 0;
};

/// ClassStatistics holds this proxy's measurements of a class of requests.
struct ClassStatistics {
  MeanAndDeviation latency;  ///< response time in ms, divided by LatencyScale
  MeanAndDeviation work;     ///< hinted work, in ms
  UsualTimeout usual_timeout;

  /// Returns the expected ratio of the response time of a request with `work_ms` of hinted work to that of a
  /// request with the class's mean work.
  [[nodiscard]] double LatencyScale(double work_ms) const;

  /// Returns a response time that is rarely exceeded: mean + 4 deviations, like the time-outs of RFC 6298.
  [[nodiscard]] Duration LatencyUpperBound(double work_ms) const;

  /// Returns whether enough responses were measured for an estimate.
  [[nodiscard]] bool has_enough_samples() const;
};

/// Attempt is one attempt of a request at a server.
struct Attempt {
  ServerIndex server = 0;
  TimePoint sent_at{};
  TimePoint overdue_at{};  ///< time after which no response is expected
  bool is_outstanding = true;
  bool may_have_run = true;
  bool is_unreached = false;  ///< the attempt has ended without reaching the server
};

/// Request holds the state of a request from its arrival until it has its final response and no attempt is
/// outstanding.
struct Request {
  RequestId id = 0;
  ClassSettings rules{};  ///< settings of the request's class when the request arrived
  std::shared_ptr<ClassStatistics> statistics{};
  int max_attempts = 1;
  double work = 1;   ///< hinted work, or the mean if there is no hint, in ms on a standard core
  double value = 0;  ///< priority weight that the response is expected to earn
  std::uint64_t key = 0;
  TimePoint arrived{};
  TimePoint due{};        ///< the client's deadline
  TimePoint reject_at{};  ///< time until which the request may be queued
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
