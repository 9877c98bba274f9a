// SPDX-License-Identifier: Apache-2.0
//
// Replaces the decision module's report of its spare capacity: this gateway's part of the servers' capacity
// less the work that it admits from its own clients, as an exponentially weighted mean.
#ifndef LOAD_BALANCER_MODEL_OVERFLOW_METER_H_
#define LOAD_BALANCER_MODEL_OVERFLOW_METER_H_

#include <algorithm>
#include <chrono>
#include <cmath>

#include "base/time.h"
#include "overflow/estimate_publisher.h"

namespace load_balancer::model {

// SpareMeter measures the admitted work of one gateway or site.
class SpareMeter {
 public:
  explicit SpareMeter(Time now) : started_(now), at_(now), rejected_at_(now - kTimeConstant) {}

  void Admitted(Time now, double work_ms) {
    Advance(now);
    rate_ += work_ms / kTimeConstant.count();
    squares_ += work_ms * work_ms / kTimeConstant.count();
  }
  // Returns the admitted work in ms per second.
  double Rate(Time now) {
    Advance(now);
    return rate_;
  }
  void Rejected(Time now) { rejected_at_ = now; }

  // Returns the spare capacity. `capacity` is in ms of work per second. The lower bound is 1.65 standard
  // errors below the mean. The spare capacity is zero for one time constant after a rejection and for two
  // time constants after the start, when the mean is not reliable yet.
  overflow::MemberSpareCapacity Spare(Time now, double capacity, std::chrono::milliseconds wait) {
    Advance(now);
    if (now - rejected_at_ < kTimeConstant || now - started_ < 2 * kTimeConstant) return {0, 0, wait};
    const double mean = std::max(0.0, capacity - rate_);
    const double error = std::sqrt(squares_ / (2 * kTimeConstant.count()));
    return {mean, std::max(0.0, mean - 1.65 * error), wait};
  }

 private:
  static constexpr std::chrono::duration<double> kTimeConstant{1};  // of the exponential mean

  void Advance(Time now) {
    const double remaining = std::exp(-std::chrono::duration<double>(now - at_) / kTimeConstant);
    rate_ *= remaining;
    squares_ *= remaining;
    at_ = now;
  }

  Time started_, at_;
  std::chrono::time_point<std::chrono::steady_clock, std::chrono::duration<double>> rejected_at_;
  double rate_ = 0, squares_ = 0;
};

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_OVERFLOW_METER_H_
