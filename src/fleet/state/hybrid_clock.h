// SPDX-License-Identifier: Apache-2.0
//
// A hybrid logical clock (Kulkarni, Demirbas, Madeppa, Avva, Leone: "Logical Physical Clocks", 2014): stamps
// that follow causes and stay near the wall clock.
#ifndef LOAD_BALANCER_FLEET_STATE_HYBRID_CLOCK_H_
#define LOAD_BALANCER_FLEET_STATE_HYBRID_CLOCK_H_

#include <algorithm>
#include <cstdint>

namespace load_balancer::fleet {

// 48 bits of Unix milliseconds, 16 of a counter: ordered as it stands.
using Stamp = std::uint64_t;
inline constexpr int kCounterBits = 16;
inline constexpr std::uint64_t MillisecondsOf(Stamp stamp) { return stamp >> kCounterBits; }

class HybridClock {
 public:
  // A stamp for what happens here at `wall` (Unix ms), later than all before and all seen.
  Stamp Now(std::uint64_t wall) { return last_ = std::max(last_ + 1, wall << kCounterBits); }
  // One from elsewhere has come.
  void See(Stamp stamp) { last_ = std::max(last_, stamp); }

 private:
  Stamp last_ = 0;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_STATE_HYBRID_CLOCK_H_
