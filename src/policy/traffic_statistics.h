// SPDX-License-Identifier: Apache-2.0
/// @file
/// What this proxy measures of its traffic: the rates of requests and responses, and how crowded servers are.
#ifndef LOAD_BALANCER_SRC_POLICY_TRAFFIC_STATISTICS_H_
#define LOAD_BALANCER_SRC_POLICY_TRAFFIC_STATISTICS_H_

#include "policy/request.h"

namespace load_balancer {

/// Measures this proxy's traffic, all classes together. Work is hinted work in ms on a standard core.
class TrafficStatistics {
 public:
  /// Takes over what a former process has learned. Does nothing once an attempt has ended here.
  void Restore(const LearnedRates& rates);

  /// Counts a request's hinted work.
  void RecordHintedWork(double work) { request_work_.Add(work); }
  void RecordArrival(const Request& request);

  /// An attempt has ended after `took` ms. `is_timed`: `took` tells how fast servers respond.
  void RecordAttempt(const Request& request, double took, bool ok, bool is_timed);

  /// Updates the rates from what was counted in the last `elapsed` ms.
  void Sample(double elapsed, TimePoint now);

  /// A request that takes longer than its latency objective even at an idle server was found: the finding
  /// weakens the next, so that a slow spell does not shut out a class for good.
  void WeakenTimePerWork();

  /// Hinted work of requests, and the latency objectives that they came with in ms.
  [[nodiscard]] const MeanAndDeviation& request_work() const { return request_work_; }
  [[nodiscard]] const MeanAndDeviation& latency_objective() const { return latency_objective_; }

  /// The share of their latency objective that responses take.
  [[nodiscard]] double latency_objective_used() const { return latency_objective_used_; }

  /// Response time over the time that uncrowded servers need; 1: they are not crowded.
  [[nodiscard]] double crowding() const { return crowding_; }

  /// The least response time over hinted work, of large requests; 0: not known.
  [[nodiscard]] double time_per_work() const { return time_per_work_; }
  [[nodiscard]] bool is_time_per_work_known() const;

  [[nodiscard]] double responses_per_ms() const { return responses_per_ms_; }
  [[nodiscard]] double work_served_per_ms() const { return work_served_per_ms_; }
  [[nodiscard]] double work_requested_per_ms() const { return work_requested_per_ms_; }

  /// Attempts have ended. Until there are enough, what is requested stands for what is served.
  [[nodiscard]] bool has_attempts() const { return attempts_ > 0; }
  [[nodiscard]] bool has_enough_attempts() const;

 private:
  void UpdateResponseRate(double rate, Duration elapsed);

  MeanAndDeviation request_work_;
  MeanAndDeviation latency_objective_;
  double latency_objective_used_ = 0;
  double crowding_ = 3;  // a new proxy assumes crowded servers
  int time_per_work_votes_ = 0;
  double time_per_work_ = 0;
  int samples_ = 0;
  int response_rate_samples_ = 0;
  TimePoint last_arrival_{};
  TimePoint arrivals_since_ = kNever;  // the first after a pause
  int attempts_ = 0;                   // ended; counted as far as is needed

  // Since the last sample.
  double responses_ = 0;
  double work_served_ = 0;
  double work_requested_ = 0;

  double responses_per_ms_ = 0;
  double work_served_per_ms_ = 0;
  double work_requested_per_ms_ = 0;
};

}  // namespace load_balancer

#endif  // LOAD_BALANCER_SRC_POLICY_TRAFFIC_STATISTICS_H_
