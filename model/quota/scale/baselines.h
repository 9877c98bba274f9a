// SPDX-License-Identifier: Apache-2.0
//
// Other ways to keep a partner's budget, for the same requests: the budget divided evenly by gateways; one
// central counter that is asked for each request; and an all-knowing gate, which no real one beats.
#ifndef LOAD_BALANCER_MODEL_QUOTA_SCALE_BASELINES_H_
#define LOAD_BALANCER_MODEL_QUOTA_SCALE_BASELINES_H_

#include <cstdint>
#include <map>
#include <optional>

#include "model/quota/overspend_check.h"
#include "model/quota/scale/gateway_cluster.h"
#include "quota/budget.h"

namespace load_balancer::model::scale {

// Each gateway has its part of rate and burst, from the start on, and whole.
class StaticDivision {
 public:
  StaticDivision(const quota::Budget& budget, std::size_t gateways)
      : rate_(budget.rate / static_cast<quota::MilliUnits>(gateways)),
        burst_(budget.burst / static_cast<quota::MilliUnits>(gateways)) {}
  bool Offer(std::size_t gateway, Moment at) {
    if (rate_ <= 0) return false;
    return windows_.try_emplace(gateway, rate_, burst_).first->second.Offer({at, quota::kUnit});
  }

 private:
  quota::MilliUnits rate_, burst_;
  std::map<std::size_t, Window> windows_;
};

// A counter at the holder of the partner's duty, as far as the holder lives, is known and can be reached. A
// new holder knows nothing of what was spent, and begins empty. Requests are counted in the order in which
// they came in; only the time of the way is added up.
class CentralCounter {
 public:
  explicit CentralCounter(const quota::Budget& budget)
      : budget_(budget), window_(budget.rate, budget.burst) {}
  bool Offer(Moment at, const std::optional<std::size_t>& holder) {
    if (!holder) return false;
    if (holder_ && *holder_ != *holder) {
      window_ = Window(budget_.rate, budget_.burst);
      window_.Admit({at, budget_.burst});
    }
    holder_ = holder;
    return window_.Offer({at, quota::kUnit});
  }

 private:
  const quota::Budget budget_;
  Window window_;
  std::optional<std::size_t> holder_;
};

}  // namespace load_balancer::model::scale

#endif  // LOAD_BALANCER_MODEL_QUOTA_SCALE_BASELINES_H_
