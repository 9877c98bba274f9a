// SPDX-License-Identifier: Apache-2.0
//
// Two rate limiters with which quotas are compared on the same requests. One divides the budget evenly among
// the gateways. The other is a central counter that decides on each request. The ideal limiter, which no
// limiter can surpass in the number of admitted requests, is ExactTokenBucket
// (model/quota/overspend_check.h).
#ifndef LOAD_BALANCER_MODEL_QUOTA_SCALE_BASELINES_H_
#define LOAD_BALANCER_MODEL_QUOTA_SCALE_BASELINES_H_

#include <cstdint>
#include <map>
#include <optional>

#include "model/quota/overspend_check.h"
#include "model/quota/scale/gateway_cluster.h"
#include "quota/budget.h"

namespace load_balancer::model::scale {

// Assigns to each gateway a token bucket with an equal part of the rate and burst. The bucket is full at the
// start.
class StaticDivision {
 public:
  StaticDivision(const quota::Budget& budget, std::size_t gateways)
      : rate_(budget.rate / static_cast<quota::MilliUnits>(gateways)),
        burst_(budget.burst / static_cast<quota::MilliUnits>(gateways)) {}
  // Charges one request at the gateway if its bucket holds the cost, and returns whether it was charged.
  bool TryCharge(std::size_t gateway, Moment at) {
    if (rate_ <= 0) return false;
    return buckets_.try_emplace(gateway, rate_, burst_).first->second.TryCharge({at, quota::kUnit});
  }

 private:
  quota::MilliUnits rate_, burst_;
  std::map<std::size_t, ExactTokenBucket> buckets_;  // by gateway
};

// A central counter at the holder of the partner's allocator lease. It rejects requests while the holder is
// down, unknown or unreachable. A new holder does not know how much was spent, so its bucket is empty at the
// start. Requests are counted in the order in which they arrive at the gateways; the caller accounts for the
// network delay.
class CentralCounter {
 public:
  explicit CentralCounter(const quota::Budget& budget)
      : budget_(budget), bucket_(budget.rate, budget.burst) {}
  // Charges one request at `holder`, which is empty if the holder cannot be reached. Returns whether the
  // request is admitted.
  bool TryCharge(Moment at, const std::optional<std::size_t>& holder) {
    if (!holder) return false;
    if (holder_ && *holder_ != *holder) {
      bucket_ = ExactTokenBucket(budget_.rate, budget_.burst);
      bucket_.ForceCharge({at, budget_.burst});
    }
    holder_ = holder;
    return bucket_.TryCharge({at, quota::kUnit});
  }

 private:
  const quota::Budget budget_;
  ExactTokenBucket bucket_;
  std::optional<std::size_t> holder_;
};

}  // namespace load_balancer::model::scale

#endif  // LOAD_BALANCER_MODEL_QUOTA_SCALE_BASELINES_H_
