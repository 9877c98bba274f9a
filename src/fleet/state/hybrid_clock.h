// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Implements a hybrid logical clock (Kulkarni, Demirbas, Madeppa, Avva, Leone: "Logical Physical Clocks",
/// 2014), whose timestamps respect causality and stay close to the wall clock.
#ifndef LOAD_BALANCER_FLEET_STATE_HYBRID_CLOCK_H_
#define LOAD_BALANCER_FLEET_STATE_HYBRID_CLOCK_H_

#include <algorithm>
#include <cstdint>

namespace load_balancer::fleet {

/// HybridTimestamp holds Unix milliseconds in its upper 48 bits and a logical counter in its lower 16 bits.
/// The integer comparison therefore orders timestamps by time, then by counter.
using HybridTimestamp = std::uint64_t;
/// Number of bits of the logical counter.
inline constexpr int kCounterBits = 16;

/// Returns the Unix milliseconds of a timestamp.
inline constexpr std::uint64_t MillisecondsOf(HybridTimestamp stamp) { return stamp >> kCounterBits; }

/// HybridClock issues the timestamps of one member.
class HybridClock {
 public:
  /// Returns a timestamp for a local event at `wall_ms` (Unix milliseconds). It is later than all timestamps
  /// that were issued or observed before.
  HybridTimestamp Now(std::uint64_t wall_ms) {
    last_ = std::max(last_ + 1, wall_ms << kCounterBits);
    return last_;
  }
  /// Records a timestamp that was received from another member.
  void Observe(HybridTimestamp stamp) { last_ = std::max(last_, stamp); }

 private:
  HybridTimestamp last_ = 0;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_STATE_HYBRID_CLOCK_H_
