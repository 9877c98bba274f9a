// SPDX-License-Identifier: Apache-2.0
//
/// @file
/// Estimates the rate of a partner's traffic at one gateway.
#ifndef LOAD_BALANCER_QUOTA_DEMAND_ESTIMATOR_H_
#define LOAD_BALANCER_QUOTA_DEMAND_ESTIMATOR_H_

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>

#include "base/time.h"
#include "quota/amount.h"

namespace load_balancer::quota {

/// Measures over two scales of two sliding windows each: the last second beside its last 150 to 200 ms, and
/// the last 8 s beside their last 1.2 to 1.6 s. The finer scale is used if it holds so many charges that
/// their number determines the rate. Sparse traffic is measured by the coarser one, as its noise would
/// otherwise move the partner's budget to and fro.
///
/// Traffic is counted anew from the start of a short window whose rate differs from the long one's by more
/// than three standard deviations of a Poisson process of the long one's rate. So a change of heavy traffic
/// is noticed within 200 ms, up or down. A silence of 150 ms or more in which seven charges were expected is
/// the end of the traffic.
class DemandEstimator {
 public:
  /// Width of a bin of the finer scale.
  static constexpr Span kBinWidth = std::chrono::milliseconds(50);

  /// Counts a charge.
  void Add(Time now, MilliUnits cost);
  /// The rate per second. 0 once a silence is the end of the traffic, 8 s after the last charge at the
  /// latest.
  MilliUnits Estimate(Time now);
  /// The largest single cost of the last 8 s or more; 0 if there is none.
  MilliUnits LargestCost(Time now);

 private:
  // Lengths of the windows in bins; the current bin is part of each in addition.
  static constexpr int kLongWindow = 20;
  static constexpr int kShortWindow = 3;
  // Beyond the number of any bin, negative ones included.
  static constexpr std::int64_t kBinOffset = std::int64_t{1} << 40;
  static constexpr Span kCoarseBinWidth = 8 * kBinWidth;
  // Number of charges of the largest cost from which on the finer scale determines the rate.
  static constexpr MilliUnits kMinFineCharges = 32;

  /// A long and a short sliding window over bins of one width.
  class Scale {
   public:
    Scale(Span bin_width, Span min_window) : bin_width_(bin_width), min_window_(min_window) {}
    void Advance(Time now);
    void Add(MilliUnits cost) { Bin(current_bin_) += cost; }
    MilliUnits Sum(int bins) const;
    MilliUnits LongSum() const { return Sum(kLongWindow); }
    /// Whether the rate of the short window is significantly different from that of the long one.
    bool HasShifted(Time now, double largest_cost) const;
    double Rate(Time now) const;
    /// Drops what came more than `bins` bins before the current one.
    void KeepLast(int bins) { first_bin_ = std::max(first_bin_, current_bin_ - bins); }
    /// Starts anew with the current bin as if `sum` were all that came.
    void Restart(MilliUnits sum);

   private:
    MilliUnits& Bin(std::int64_t number) {
      return bins_[static_cast<std::uint64_t>(number + kBinOffset) % bins_.size()];
    }
    MilliUnits Bin(std::int64_t number) const {
      return bins_[static_cast<std::uint64_t>(number + kBinOffset) % bins_.size()];
    }
    /// The length in seconds of a window of `bins` complete bins and the elapsed part of the current one. It
    /// is no longer than the traffic that is counted, and at least `min_window_`.
    double WindowSeconds(Time now, int bins) const;

    const Span bin_width_;
    const Span min_window_;
    std::array<MilliUnits, kLongWindow + 1> bins_{};
    std::int64_t current_bin_ = -kBinOffset;
    std::int64_t first_bin_ = 0;  // of the traffic that is counted
  };

  void Advance(Time now);

  Scale fine_{kBinWidth, kBinWidth};
  // Half a bin at least, so that a single charge counts as 200 ms of traffic.
  Scale coarse_{kCoarseBinWidth, kCoarseBinWidth / 2};
  Time last_charge_;
  // The largest costs of the current and of the last period, each a long window of the coarse scale.
  std::int64_t period_ = -kBinOffset;
  MilliUnits largest_in_period_ = 0;
  MilliUnits largest_in_last_period_ = 0;
};

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_DEMAND_ESTIMATOR_H_
