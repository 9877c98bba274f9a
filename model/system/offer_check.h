// SPDX-License-Identifier: Apache-2.0
//
// The bound of what all others send to one site: in any window W its offer x W + the shares' depth + one
// request of each sender. The offer at a moment is the largest of the estimates that may still count then.
#ifndef LOAD_BALANCER_MODEL_SYSTEM_OFFER_CHECK_H_
#define LOAD_BALANCER_MODEL_SYSTEM_OFFER_CHECK_H_

#include <algorithm>
#include <deque>
#include <utility>

#include "model/program.h"

namespace load_balancer::model {

class OfferCheck {
 public:
  // `lives`: that an estimate may count after it was made; `slack`: the depth of a share, as so long's worth.
  OfferCheck(Moment lives, Moment slack, std::size_t senders)
      : lives_(lives), slack_(slack), senders_(static_cast<double>(senders)) {}

  // Work in ms a second, from now on.
  void Offer(Moment now, double rate) {
    Advance(now);
    offers_.emplace_back(now, rate);
  }
  // Of ms of work; the work that it is over by: 0 if it is within.
  double Sent(Moment now, double work_ms) {
    Advance(now);
    largest_ = std::max(largest_, work_ms);
    level_ -= work_ms;
    return std::max(0.0, -level_ - senders_ * largest_);
  }
  void Advance(Moment now) {
    while (!offers_.empty() && offers_.front().first + lives_ < now) offers_.pop_front();
    double most = 0;
    for (const auto& [made, rate] : offers_) most = std::max(most, rate);
    const double rate = std::max(most, std::exchange(rate_, most));
    level_ += rate * std::chrono::duration<double>(now - std::exchange(at_, now)).count();
    level_ = std::min(level_, rate * std::chrono::duration<double>(slack_).count());
  }

 private:
  const Moment lives_, slack_;
  const double senders_;
  std::deque<std::pair<Moment, double>> offers_;
  Moment at_{0};
  double level_ = 0, rate_ = 0, largest_ = 0;
};

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_SYSTEM_OFFER_CHECK_H_
