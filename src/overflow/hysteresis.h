// SPDX-License-Identifier: Apache-2.0
//
// Detects whether a site is over capacity, with hysteresis. The site becomes over capacity when its spare
// capacity has been zero without interruption for a set time. It stops being over capacity when its spare
// capacity has been above zero without interruption for another set time.
#ifndef LOAD_BALANCER_OVERFLOW_HYSTERESIS_H_
#define LOAD_BALANCER_OVERFLOW_HYSTERESIS_H_

#include <optional>

#include "base/time.h"

namespace load_balancer::overflow {

// Hysteresis stores whether one site is over capacity, and since when.
class Hysteresis {
 public:
  // The site becomes over capacity after its spare capacity has been zero for `zero_time`, and stops being
  // over capacity after its spare capacity has been above zero for `spare_time`.
  Hysteresis(Span zero_time, Span spare_time) : zero_time_(zero_time), spare_time_(spare_time) {}

  // Records whether the spare capacity is zero at `now`. The first call sets the state without a delay.
  void Update(Time now, bool is_zero) {
    if (!since_) {
      over_ = is_zero;
      since_ = now;
    }
    if (is_zero == over_) {
      if (differs_since_ && !over_) since_ = now;
      differs_since_.reset();
      return;
    }
    if (!differs_since_) differs_since_ = now;
    if (now - *differs_since_ < (is_zero ? zero_time_ : spare_time_)) return;
    over_ = is_zero;
    since_ = is_zero ? *differs_since_ : now;
    differs_since_.reset();
  }

  bool over() const { return over_; }
  // Returns how long the state has been settled. While the site is over capacity, this is the time since the
  // spare capacity fell to zero. Otherwise, it is the time since the site stopped being over capacity or
  // since its spare capacity was last zero, whichever is later. It is 0 while the spare capacity is zero but
  // the site is not over capacity yet.
  Span SettledFor(Time now) const {
    return since_ && (over_ || !differs_since_) ? now - *since_ : Span::zero();
  }

 private:
  Span zero_time_, spare_time_;
  bool over_ = false;
  // `since_` is the start of the settled state; `differs_since_` is when the updates began to contradict it.
  std::optional<Time> since_, differs_since_;
};

}  // namespace load_balancer::overflow

#endif  // LOAD_BALANCER_OVERFLOW_HYSTERESIS_H_
