// SPDX-License-Identifier: Apache-2.0
//
// Stands for the module's query of its spare: this gateway's part of the servers' capacity, less the own work
// that it admits, as an exponentially weighted mean.
#ifndef LOAD_BALANCER_MODEL_OVERFLOW_METER_H_
#define LOAD_BALANCER_MODEL_OVERFLOW_METER_H_

#include <algorithm>
#include <chrono>
#include <cmath>

#include "base/time.h"
#include "overflow/estimate_publisher.h"

namespace load_balancer::model {

class Meter {
 public:
  explicit Meter(Time now) : started_(now), at_(now), refused_at_(now - kMemory) {}

  void Admitted(Time now, double work_ms) {
    Advance(now);
    rate_ += work_ms / kMemory.count();
    squares_ += work_ms * work_ms / kMemory.count();
  }
  // Own work admitted, ms a second.
  double Rate(Time now) {
    Advance(now);
    return rate_;
  }
  void Refused(Time now) { refused_at_ = now; }

  // `capacity` in ms of work a second. The lower bound is 1.65 standard errors under the mean. Nothing while
  // it has refused own traffic within its memory, or does not know yet.
  overflow::MemberSpare Spare(Time now, double capacity, std::chrono::milliseconds wait) {
    Advance(now);
    if (now - refused_at_ < kMemory || now - started_ < 2 * kMemory) return {0, 0, wait};
    const double mean = std::max(0.0, capacity - rate_);
    const double error = std::sqrt(squares_ / (2 * kMemory.count()));
    return {mean, std::max(0.0, mean - 1.65 * error), wait};
  }

 private:
  static constexpr std::chrono::duration<double> kMemory{1};

  void Advance(Time now) {
    const double kept = std::exp(-std::chrono::duration<double>(now - at_) / kMemory);
    rate_ *= kept;
    squares_ *= kept;
    at_ = now;
  }

  Time started_, at_;
  std::chrono::time_point<std::chrono::steady_clock, std::chrono::duration<double>> refused_at_;
  double rate_ = 0, squares_ = 0;
};

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_OVERFLOW_METER_H_
