// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// A hybrid logical clock (Kulkarni, Demirbas, Madeppa, Avva, Leone: "Logical Physical Clocks", 2014):
/// timestamps that respect causality and stay close to the wall clock.
#ifndef LOAD_BALANCER_FLEET_STATE_HYBRID_CLOCK_H_
#define LOAD_BALANCER_FLEET_STATE_HYBRID_CLOCK_H_

#include <algorithm>
#include <cstdint>

namespace load_balancer::fleet {

/// 48 bits of Unix milliseconds above 16 bits of a logical counter, so that integers compare as timestamps
/// do.
using HybridTimestamp = std::uint64_t;
inline constexpr int kCounterBits = 16;

/// The Unix milliseconds of a timestamp.
inline constexpr std::uint64_t MillisecondsOf(HybridTimestamp stamp) { return stamp >> kCounterBits; }

class HybridClock {
 public:
  /// A timestamp for a local event at `wall_ms` (Unix milliseconds), later than all issued and observed ones.
  HybridTimestamp Now(std::uint64_t wall_ms) {
    last_ = std::max(last_ + 1, wall_ms << kCounterBits);
    return last_;
  }
  /// A timestamp of another member has been received.
  void Observe(HybridTimestamp stamp) { last_ = std::max(last_, stamp); }

 private:
  HybridTimestamp last_ = 0;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_STATE_HYBRID_CLOCK_H_
