// SPDX-License-Identifier: Apache-2.0
//
// The hard rule of quotas, and what an all-knowing gate would have done.
#ifndef LOAD_BALANCER_MODEL_QUOTA_OVERSPEND_CHECK_H_
#define LOAD_BALANCER_MODEL_QUOTA_OVERSPEND_CHECK_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

#include "model/program.h"
#include "quota/amount.h"

namespace load_balancer::model {

struct Admission {
  Moment at;
  quota::MilliUnits cost = 0;
};

struct Overspend {
  Moment from, to;  // the window
  double over = 0;  // units more than rate x window + burst
};

// Takes what comes as long as every window of any length stays within rate x window + burst: a token bucket
// that starts full, by exact arithmetic.
class Window {
 public:
  Window(quota::MilliUnits rate, quota::MilliUnits burst)
      : rate_(rate), depth_(burst * kFine), level_(depth_) {}

  // Units that the admission is over by; it counts either way.
  double Admit(const Admission& admission) {
    Fill(admission.at);
    level_ -= admission.cost * kFine;
    return level_ < 0 ? static_cast<double>(-level_) / (static_cast<double>(kFine) * quota::kUnit) : 0;
  }
  // Whether it would have been within.
  bool Offer(const Admission& admission) {
    Fill(admission.at);
    if (admission.cost * kFine > level_) return false;
    level_ -= admission.cost * kFine;
    return true;
  }

 private:
  static constexpr std::int64_t kFine = 1'000'000'000;
  void Fill(Moment at) {
    const std::int64_t ns = (at - last_).count();
    level_ = ns > (depth_ - level_) / rate_ ? depth_ : level_ + ns * rate_;
    last_ = at;
  }

  quota::MilliUnits rate_;
  std::int64_t depth_, level_;
  Moment last_{0};
};

// The largest overspend over all windows that begin and end with an admission; `admissions` in their order.
inline std::optional<Overspend> FindOverspend(const std::vector<Admission>& admissions,
                                              quota::MilliUnits rate, quota::MilliUnits burst) {
  Window window(rate, burst);
  std::optional<Overspend> worst;
  for (const Admission& admission : admissions) {
    const double over = window.Admit(admission);
    if (over > 0 && (!worst || over > worst->over)) worst = Overspend{Moment(0), admission.at, over};
  }
  if (!worst) return worst;
  // The window that it was over by the most in.
  double sum = 0, most = 0;
  for (auto it = admissions.rbegin(); it != admissions.rend(); ++it) {
    if (it->at > worst->to) continue;
    sum += static_cast<double>(it->cost) / quota::kUnit;
    const double allowed =
        (static_cast<double>(rate) * std::chrono::duration<double>(worst->to - it->at).count() +
         static_cast<double>(burst)) /
        quota::kUnit;
    if (sum - allowed <= most) continue;
    most = sum - allowed;
    worst->from = it->at;
  }
  return worst;
}

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_QUOTA_OVERSPEND_CHECK_H_
