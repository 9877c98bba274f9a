// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Lifeguard's local health multiplier (Dadgar, Phillips, Currey, 2018). A member that misses answers may
/// itself be the slow one, so it allows other members more time.
#ifndef LOAD_BALANCER_FLEET_MEMBERSHIP_LOCAL_HEALTH_H_
#define LOAD_BALANCER_FLEET_MEMBERSHIP_LOCAL_HEALTH_H_

#include <algorithm>

#include "fleet/membership/options.h"

namespace load_balancer::fleet {

/// A score of how reliably this member itself works.
class LocalHealth {
 public:
  /// Raises the score by `by`, up to kMaxHealthScore.
  void Worsen(int by) { score_ = std::min(kMaxHealthScore, score_ + by); }
  /// Lowers the score by one, down to 0.
  void Improve() { score_ = std::max(0, score_ - 1); }
  /// Returns the score, from 0 (healthy) to kMaxHealthScore.
  int score() const { return score_; }
  /// Returns an interval or timeout multiplied by the score plus one.
  Span Scale(Span span) const { return span * (score_ + 1); }

 private:
  int score_ = 0;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_MEMBERSHIP_LOCAL_HEALTH_H_
