// SPDX-License-Identifier: Apache-2.0
//
// This gateway's share of what a neighbour site offers: a token bucket of hinted work (ms). Over any window W
// it lets through at most rate x W + depth + the largest request.
#ifndef LOAD_BALANCER_OVERFLOW_TOKEN_BUCKET_H_
#define LOAD_BALANCER_OVERFLOW_TOKEN_BUCKET_H_

#include <algorithm>
#include <chrono>

#include "base/time.h"

namespace load_balancer::overflow {

class Share {
 public:
  // It starts empty at `now`, with a rate of zero.
  explicit Share(Time now) : at_(now) {}

  // From `now` on: ms of hinted work a second, and the most that may gather, ms of hinted work. What gathered
  // since the last call did so at the smaller of both rates; what is over the new depth is cut at once.
  void Set(Time now, double rate, double depth) {
    Advance(now, std::min(rate, rate_));
    rate_ = rate;
    depth_ = depth;
    level_ = std::min(level_, depth_);
  }

  // Whether so much is there, and anything at all. A request may be larger than what is there: its debt is
  // paid off before the next.
  bool Has(Time now, double least) {
    Advance(now, rate_);
    return level_ > 0 && level_ >= least;
  }
  // Takes it; only after Has.
  void Take(double work) { level_ -= work; }

  // ms of hinted work; under zero while a debt is paid off.
  double level() const { return level_; }
  double rate() const { return rate_; }
  double depth() const { return depth_; }

 private:
  void Advance(Time now, double rate) {
    const std::chrono::duration<double> passed = now - at_;
    if (passed.count() <= 0) return;
    at_ = now;
    level_ = std::min(level_ + rate * passed.count(), depth_);
  }

  Time at_;
  double rate_ = 0, depth_ = 0, level_ = 0;
};

}  // namespace load_balancer::overflow

#endif  // LOAD_BALANCER_OVERFLOW_TOKEN_BUCKET_H_
