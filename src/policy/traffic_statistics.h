// SPDX-License-Identifier: Apache-2.0
/// @file
/// Measurements of this proxy's traffic: the rates of requests and responses, and the queueing at servers.
#ifndef LOAD_BALANCER_SRC_POLICY_TRAFFIC_STATISTICS_H_
#define LOAD_BALANCER_SRC_POLICY_TRAFFIC_STATISTICS_H_

#include "policy/request.h"

namespace load_balancer {

/// Measures this proxy's traffic over all classes. Work is hinted work, in ms on a standard core.
class TrafficStatistics {
 public:
  /// Adopts the rates measured by a former process. Does nothing after an attempt of this process has ended.
  void Restore(const LearnedRates& rates);

  /// Records a request's hinted work.
  void RecordHintedWork(double work) { request_work_.Add(work); }
  void RecordArrival(const Request& request);

  /// Records an attempt that ended after `took_ms`. `is_latency_sample` states whether that time is a measure
  /// of the servers' speed.
  void RecordAttempt(const Request& request, double took_ms, bool ok, bool is_latency_sample);

  /// Updates the rates from the counts of the last `elapsed` ms.
  void Sample(double elapsed, TimePoint now);

  /// Reduces time_per_work() after a request whose estimated time exceeded its latency objective even at an
  /// idle server. Without this, a temporary slowdown could reject a class of requests permanently.
  void ReduceTimePerWork();

  /// Return the hinted work of requests and their latency objectives in ms.
  [[nodiscard]] const MeanAndDeviation& request_work() const { return request_work_; }
  [[nodiscard]] const MeanAndDeviation& latency_objective() const { return latency_objective_; }

  /// Returns the mean ratio of response time to latency objective.
  [[nodiscard]] double latency_objective_used() const { return latency_objective_used_; }

  /// Returns the ratio of the response time to that of servers without queues; 1 means that no requests
  /// queue.
  [[nodiscard]] double crowding() const { return crowding_; }

  /// Returns the ratio of response time to hinted work of large requests at servers without queues; 0 if it
  /// is not known.
  [[nodiscard]] double time_per_work() const { return time_per_work_; }
  [[nodiscard]] bool is_time_per_work_known() const;

  [[nodiscard]] double responses_per_ms() const { return responses_per_ms_; }
  [[nodiscard]] double work_served_per_ms() const { return work_served_per_ms_; }
  [[nodiscard]] double work_requested_per_ms() const { return work_requested_per_ms_; }

  /// Return whether any attempts have ended, and whether enough have ended to measure the work served. Before
  /// that, the work requested is used in its place.
  [[nodiscard]] bool has_attempts() const { return attempts_ > 0; }
  [[nodiscard]] bool has_enough_attempts() const;

 private:
  void UpdateResponseRate(double rate, Duration elapsed);

  MeanAndDeviation request_work_;
  MeanAndDeviation latency_objective_;
  double latency_objective_used_ = 0;
  double crowding_ = 3;  // a new proxy assumes that requests queue at servers
  int time_per_work_samples_ = 0;
  double time_per_work_ = 0;
  int samples_ = 0;
  int response_rate_samples_ = 0;
  TimePoint last_arrival_{};
  TimePoint arrivals_resumed_at_ = kNever;  // first arrival after a pause
  int attempts_ = 0;                        // ended attempts, up to kEnoughAttempts

  // Counts since the last sample.
  double responses_ = 0;
  double work_served_ = 0;
  double work_requested_ = 0;

  double responses_per_ms_ = 0;
  double work_served_per_ms_ = 0;
  double work_requested_per_ms_ = 0;
};

}  // namespace load_balancer

#endif  // LOAD_BALANCER_SRC_POLICY_TRAFFIC_STATISTICS_H_
