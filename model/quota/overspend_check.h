// SPDX-License-Identifier: Apache-2.0
//
// Checks that the gateways together never admit more than a budget, and provides an ideal limiter for
// comparisons.
#ifndef LOAD_BALANCER_MODEL_QUOTA_OVERSPEND_CHECK_H_
#define LOAD_BALANCER_MODEL_QUOTA_OVERSPEND_CHECK_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

#include "model/program.h"
#include "quota/amount.h"

namespace load_balancer::model {

// A request that was admitted and ran.
struct Admission {
  Moment at;
  quota::MilliUnits cost = 0;
};

// A time window in which the admissions exceed the budget.
struct Overspend {
  Moment from, to;
  double excess = 0;  // units in excess of rate x window + burst
};

// A token bucket that starts full and uses exact arithmetic. It admits a request if, in every time window of
// any length, the admitted requests then stay within rate x window + burst.
class ExactTokenBucket {
 public:
  ExactTokenBucket(quota::MilliUnits rate, quota::MilliUnits burst)
      : rate_(rate), depth_(burst * kFineUnitsPerMilliUnit), level_(depth_) {}

  // Charges the admission even if the bucket does not hold its cost. Returns the number of units by which the
  // bucket is overdrawn.
  double ForceCharge(const Admission& admission) {
    Fill(admission.at);
    level_ -= admission.cost * kFineUnitsPerMilliUnit;
    return level_ < 0
               ? static_cast<double>(-level_) / (static_cast<double>(kFineUnitsPerMilliUnit) * quota::kUnit)
               : 0;
  }
  // Charges the admission if the bucket holds its cost, and returns whether it was charged.
  bool TryCharge(const Admission& admission) {
    Fill(admission.at);
    if (admission.cost * kFineUnitsPerMilliUnit > level_) return false;
    level_ -= admission.cost * kFineUnitsPerMilliUnit;
    return true;
  }

 private:
  static constexpr std::int64_t kFineUnitsPerMilliUnit = 1'000'000'000;
  void Fill(Moment at) {
    const std::int64_t ns = (at - last_).count();
    level_ = ns > (depth_ - level_) / rate_ ? depth_ : level_ + ns * rate_;
    last_ = at;
  }

  quota::MilliUnits rate_;
  std::int64_t depth_, level_;
  Moment last_{0};
};

// Returns the largest overspend of all windows that begin and end with an admission. `admissions` must be in
// the order of time.
inline std::optional<Overspend> FindOverspend(const std::vector<Admission>& admissions,
                                              quota::MilliUnits rate, quota::MilliUnits burst) {
  ExactTokenBucket bucket(rate, burst);
  std::optional<Overspend> worst;
  for (const Admission& admission : admissions) {
    const double excess = bucket.ForceCharge(admission);
    if (excess > 0 && (!worst || excess > worst->excess)) worst = Overspend{Moment(0), admission.at, excess};
  }
  if (!worst) return worst;
  // Find the beginning of the window with the largest excess. This window ends at worst->to.
  double sum = 0, largest_excess = 0;
  for (auto it = admissions.rbegin(); it != admissions.rend(); ++it) {
    if (it->at > worst->to) continue;
    sum += static_cast<double>(it->cost) / quota::kUnit;
    const double allowed =
        (static_cast<double>(rate) * std::chrono::duration<double>(worst->to - it->at).count() +
         static_cast<double>(burst)) /
        quota::kUnit;
    if (sum - allowed <= largest_excess) continue;
    largest_excess = sum - allowed;
    worst->from = it->at;
  }
  return worst;
}

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_QUOTA_OVERSPEND_CHECK_H_
