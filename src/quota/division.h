// SPDX-License-Identifier: Apache-2.0
//
// How a rate is divided among those who want parts of it: max-min fair by demand, by progressive filling
// (Bertsekas, Gallager: "Data Networks", 1992, section 6.5).
#ifndef LOAD_BALANCER_QUOTA_DIVISION_H_
#define LOAD_BALANCER_QUOTA_DIVISION_H_

#include <vector>

#include "base/time.h"
#include "quota/amount.h"

namespace load_balancer::quota {

struct Claim {
  Milli demand = 0;
  Milli floor = 0;  // as much of the demand comes before all filling
  Milli least = 0;  // a smaller part is of no use
  // Until when it has, or last had, a part of `least` while others went without.
  Time turn_until = Time::min();
};

// Parts of `capacity`, one a claim, of at most `capacity` together. What is left over goes in proportion to
// demand. Claims whose part would be under their least take turns: so many as fit get their least, first
// those on turn at `now`, then those whose last one is longest ago, and at least one of them; the others get
// none.
std::vector<Milli> Divide(Milli capacity, const std::vector<Claim>& claims, Time now);

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_DIVISION_H_
