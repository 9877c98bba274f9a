// SPDX-License-Identifier: Apache-2.0
//
// How much of a partner's traffic comes to one gateway now.
#ifndef BRACKENSPOKE_QUOTA_DEMAND_H_
#define BRACKENSPOKE_QUOTA_DEMAND_H_

#include <array>
#include <chrono>
#include <cstdint>

#include "base/time.h"
#include "quota/amount.h"

namespace brackenspoke::quota {

// Two windows over bins of 50 ms: the last second, and the last 150 to 200 ms. Traffic is counted anew from
// the short one's begin where it differs from the long one by more than three standard deviations of a
// Poisson process of the long one's rate, or where it is empty with seven charges expected, so steady traffic
// is measured quietly and a shift is noticed within 200 ms, up or down; one from less than 40 charges a
// second to none within a second.
class Demand {
 public:
  static constexpr Span kBin = std::chrono::milliseconds(50);

  void Add(Time now, Milli cost);
  // A second. 0 a second after the last charge at the latest.
  Milli Estimate(Time now);
  // The largest single cost of the last two seconds or so; 0: none.
  Milli Largest(Time now);

 private:
  static constexpr int kLong = 20, kShort = 3;                 // bins; each window has the present bin, too
  static constexpr std::int64_t kFar = std::int64_t{1} << 40;  // over the number of any bin, also under zero

  Milli& Bin(std::int64_t number) { return bins_[static_cast<std::uint64_t>(number + kFar) % bins_.size()]; }
  void Advance(Time now);
  Milli Sum(int bins);

  std::array<Milli, kLong + 1> bins_{};
  std::int64_t bin_ = -kFar;                // the present one's number
  std::int64_t first_ = 0;                  // of the traffic that is counted
  Milli largest_ = 0, largest_before_ = 0;  // of this and the last second
};

}  // namespace brackenspoke::quota

#endif  // BRACKENSPOKE_QUOTA_DEMAND_H_
