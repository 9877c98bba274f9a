// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Lifeguard's local health multiplier (Dadgar, Phillips, Currey, 2018): a member that misses answers,
/// perhaps by its own fault, gives others more time.
#ifndef LOAD_BALANCER_FLEET_MEMBERSHIP_LOCAL_HEALTH_H_
#define LOAD_BALANCER_FLEET_MEMBERSHIP_LOCAL_HEALTH_H_

#include <algorithm>

#include "fleet/membership/options.h"

namespace load_balancer::fleet {

class LocalHealth {
 public:
  void Worsen(int by) { score_ = std::min(kMaxHealthScore, score_ + by); }
  void Improve() { score_ = std::max(0, score_ - 1); }
  /// From 0, healthy, to kMaxHealthScore.
  int score() const { return score_; }
  /// An interval or timeout lengthened by the score.
  Span Scale(Span span) const { return span * (score_ + 1); }

 private:
  int score_ = 0;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_MEMBERSHIP_LOCAL_HEALTH_H_
