// SPDX-License-Identifier: Apache-2.0
//
// Lifeguard's local health: a member that hears little itself gives others more time.
#ifndef LOAD_BALANCER_FLEET_MEMBERSHIP_LOCAL_HEALTH_H_
#define LOAD_BALANCER_FLEET_MEMBERSHIP_LOCAL_HEALTH_H_

#include <algorithm>

#include "fleet/membership/options.h"

namespace load_balancer::fleet {

class Health {
 public:
  void Worsen(int by) { score_ = std::min(kMostHealth, score_ + by); }
  void Improve() { score_ = std::max(0, score_ - 1); }
  int score() const { return score_; }  // 0: well
  Span Scaled(Span span) const { return span * (score_ + 1); }

 private:
  int score_ = 0;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_MEMBERSHIP_LOCAL_HEALTH_H_
