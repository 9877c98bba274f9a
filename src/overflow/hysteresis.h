// SPDX-License-Identifier: Apache-2.0
//
// Whether a site is over capacity: it becomes so only after its spare has been zero for a while without a
// break, and ceases only after there has been some for a while.
#ifndef LOAD_BALANCER_OVERFLOW_HYSTERESIS_H_
#define LOAD_BALANCER_OVERFLOW_HYSTERESIS_H_

#include <optional>

#include "base/time.h"

namespace load_balancer::overflow {

class Hysteresis {
 public:
  Hysteresis(Span zero_for, Span spare_for) : zero_for_(zero_for), spare_for_(spare_for) {}

  // What the spare is now. The first call sets the state at once.
  void See(Time now, bool zero) {
    if (!since_) {
      over_ = zero;
      since_ = now;
    }
    if (zero == over_) {
      if (differs_since_ && !over_) since_ = now;
      differs_since_.reset();
      return;
    }
    if (!differs_since_) differs_since_ = now;
    if (now - *differs_since_ < (zero ? zero_for_ : spare_for_)) return;
    over_ = zero;
    since_ = zero ? *differs_since_ : now;
    differs_since_.reset();
  }

  bool over() const { return over_; }
  // How long nothing has pointed the other way: over, since the zeros began; not over, since it was over or
  // the last zero was seen, and not at all while there are zeros.
  Span Held(Time now) const { return since_ && (over_ || !differs_since_) ? now - *since_ : Span::zero(); }

 private:
  Span zero_for_, spare_for_;
  bool over_ = false;
  std::optional<Time> since_, differs_since_;
};

}  // namespace load_balancer::overflow

#endif  // LOAD_BALANCER_OVERFLOW_HYSTERESIS_H_
