// SPDX-License-Identifier: Apache-2.0
//
// The admission threshold for forwarded requests. While the other sites offer less capacity than is
// requested, requests with a high priority weight per unit of work are admitted first. The threshold results
// from the requests of the last seconds and the offered capacity. Requests at the threshold are admitted at
// random, with the probability that uses up the remaining capacity.
#ifndef LOAD_BALANCER_OVERFLOW_ADMISSION_THRESHOLD_H_
#define LOAD_BALANCER_OVERFLOW_ADMISSION_THRESHOLD_H_

#include <algorithm>
#include <chrono>
#include <cmath>
#include <map>

#include "base/time.h"

namespace load_balancer::overflow {

// AdmissionThreshold stores the recent demand, grouped by the priority weight per unit of work of the
// requests.
class AdmissionThreshold {
 public:
  struct Decision {
    double admit_probability;  // of this request, from 0 to 1
    double higher_demand;      // demand of higher weight as a fraction of the offered capacity, from 0 to 1
  };
  // Counts a request with the given priority weight and work (ms, above zero), and decides on its admission.
  // `offered` is the capacity for all requests, in ms of work per second.
  Decision Evaluate(Time now, double priority_weight, double work, double offered) {
    Decay(now);
    const int step = StepOf(priority_weight / work);
    demand_[step] += work / kTimeConstant.count();
    double higher_demand = 0;
    for (auto at = demand_.rbegin(); at->first > step; ++at) higher_demand += at->second;
    return {std::clamp((offered * kHeadroom - higher_demand) / demand_[step], 0.0, 1.0),
            offered > 0 ? std::min(1.0, higher_demand / offered) : 1.0};
  }

 private:
  static constexpr std::chrono::duration<double> kTimeConstant{2};  // of the exponential mean
  // Admits slightly more than is offered, so that random admission leaves no capacity unused. The token
  // buckets limit what is really forwarded.
  static constexpr double kHeadroom = 1.1;
  static constexpr double kStepsPerOctave = 4;
  // Weights per unit of work are clamped to this range.
  static constexpr double kMinWeightPerWork = 1e-6, kMaxWeightPerWork = 1e6;
  static constexpr std::chrono::milliseconds kDecayInterval{50};

  // Returns the number of the logarithmic step to which a weight per unit of work belongs.
  static int StepOf(double weight_per_work) {
    return static_cast<int>(std::floor(
        kStepsPerOctave * std::log2(std::clamp(weight_per_work, kMinWeightPerWork, kMaxWeightPerWork))));
  }
  // Reduces the recorded demand by the time that has passed.
  void Decay(Time now) {
    if (now - decayed_at_ < kDecayInterval) return;
    const double remaining = std::exp(-std::chrono::duration<double>(now - decayed_at_) / kTimeConstant);
    for (auto& [step, work] : demand_) work *= remaining;
    std::erase_if(demand_, [](const auto& each) { return each.second < 1e-9; });
    decayed_at_ = now;
  }

  std::map<int, double> demand_;  // ms of work per second, by step of weight per unit of work
  Time decayed_at_{};
};

}  // namespace load_balancer::overflow

#endif  // LOAD_BALANCER_OVERFLOW_ADMISSION_THRESHOLD_H_
