// SPDX-License-Identifier: Apache-2.0
//
// A token bucket that limits the work that this gateway forwards to one other site. Tokens are ms of hinted
// work. In any time window of length W, the bucket admits at most rate x W + depth + the work of the largest
// request.
#ifndef LOAD_BALANCER_OVERFLOW_TOKEN_BUCKET_H_
#define LOAD_BALANCER_OVERFLOW_TOKEN_BUCKET_H_

#include <algorithm>
#include <chrono>

#include "base/time.h"

namespace load_balancer::overflow {

// TokenBucket is a token bucket whose level may fall below zero by the work of one request.
class TokenBucket {
 public:
  // The bucket is empty at `now` and has a rate of zero.
  explicit TokenBucket(Time now) : refilled_at_(now) {}

  // Sets the rate (ms of hinted work per second) and the depth (ms of hinted work) from `now` on. The time
  // since the last call is credited at the smaller of the old and the new rate. A level above the new depth
  // is lowered to the new depth at once.
  void SetRate(Time now, double rate, double depth) {
    Refill(now, std::min(rate, rate_));
    rate_ = rate;
    depth_ = depth;
    level_ = std::min(level_, depth_);
  }

  // Returns whether the level is above zero and at least `min_level`. The work of the request may exceed the
  // level: the next request is then admitted only after the deficit has been refilled.
  bool HasAtLeast(Time now, double min_level) {
    Refill(now, rate_);
    return level_ > 0 && level_ >= min_level;
  }
  // Subtracts the work of a request from the level. Must only be called after HasAtLeast returned true.
  void Take(double work) { level_ -= work; }

  // Returns the level in ms of hinted work. It is below zero while a deficit is being refilled.
  double level() const { return level_; }
  double rate() const { return rate_; }
  double depth() const { return depth_; }

 private:
  void Refill(Time now, double rate) {
    const std::chrono::duration<double> passed = now - refilled_at_;
    if (passed.count() <= 0) return;
    refilled_at_ = now;
    level_ = std::min(level_ + rate * passed.count(), depth_);
  }

  Time refilled_at_;
  double rate_ = 0, depth_ = 0, level_ = 0;
};

}  // namespace load_balancer::overflow

#endif  // LOAD_BALANCER_OVERFLOW_TOKEN_BUCKET_H_
