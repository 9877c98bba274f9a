// SPDX-License-Identifier: Apache-2.0
//
// What a spilled request must be worth while neighbours offer less than is asked of them: the demand of the
// last seconds, by worth per work, against what is offered. Higher worth goes first; the class at the margin
// goes by chance, as far as the offer reaches.
#ifndef LOAD_BALANCER_OVERFLOW_ADMISSION_THRESHOLD_H_
#define LOAD_BALANCER_OVERFLOW_ADMISSION_THRESHOLD_H_

#include <algorithm>
#include <chrono>
#include <cmath>
#include <map>

#include "base/time.h"

namespace load_balancer::overflow {

class Price {
 public:
  struct Verdict {
    double chance;  // that the request is to have, from 0 to 1
    double above;   // part of what is offered that is asked for by those of higher worth, from 0 to 1
  };
  // A request of so much worth and work (ms; over zero) asks, with `offered` ms of work a second for all.
  Verdict Ask(Time now, double priority_weight, double work, double offered) {
    Fade(now);
    const int step = StepOf(priority_weight / work);
    demand_[step] += work / kMemory.count();
    double above = 0;
    for (auto at = demand_.rbegin(); at->first > step; ++at) above += at->second;
    return {std::clamp((offered * kHeadroom - above) / demand_[step], 0.0, 1.0),
            offered > 0 ? std::min(1.0, above / offered) : 1.0};
  }

 private:
  static constexpr std::chrono::duration<double> kMemory{2};  // an exponential mean's time constant
  // Over what is offered, so that chance does not leave offers unused: the shares bound what goes.
  static constexpr double kHeadroom = 1.1;
  static constexpr double kStepsAnOctave = 4;
  static constexpr double kLeast = 1e-6, kMost = 1e6;  // worth per work told apart
  static constexpr std::chrono::milliseconds kFadeEach{50};

  static int StepOf(double worth_per_work) {
    return static_cast<int>(
        std::floor(kStepsAnOctave * std::log2(std::clamp(worth_per_work, kLeast, kMost))));
  }
  void Fade(Time now) {
    if (now - faded_ < kFadeEach) return;
    const double kept = std::exp(-std::chrono::duration<double>(now - faded_) / kMemory);
    for (auto& [step, work] : demand_) work *= kept;
    std::erase_if(demand_, [](const auto& each) { return each.second < 1e-9; });
    faded_ = now;
  }

  std::map<int, double> demand_;  // ms of work a second, by step of worth per work
  Time faded_{};
};

}  // namespace load_balancer::overflow

#endif  // LOAD_BALANCER_OVERFLOW_ADMISSION_THRESHOLD_H_
