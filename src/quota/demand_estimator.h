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

/// Estimates a rate on two time scales. Each scale has a long and a short sliding window. On the fine scale
/// these are the last second and the last 150 to 200 ms; on the coarse scale, the last 8 s and the last 1.2
/// to 1.6 s. The fine scale is used if its long window contains enough charges to determine the rate. Sparse
/// traffic is measured on the coarse scale, because the noise of a short window would shift the partner's
/// budget between gateways.
///
/// Each scale detects shifts. In a shift, the rate in the short window differs from the rate in the rest of
/// the long window by more than three standard deviations of a Poisson process that has the rate of that
/// rest. The scale then discards all charges before the short window. A rise or fall of heavy traffic is
/// therefore noticed within 200 ms. The traffic counts as ended if no charge has come for at least 150 ms,
/// and if more than seven charges were expected in that time.
class DemandEstimator {
 public:
  /// The width of a bin of the fine scale.
  static constexpr Span kBinWidth = std::chrono::milliseconds(50);

  /// Counts a charge.
  void Add(Time now, MilliUnits cost);
  /// Returns the estimated rate per second. The rate is 0 once the traffic has ended, at the latest 8 s after
  /// the last charge.
  MilliUnits Estimate(Time now);
  /// Returns the largest cost of a recent charge; 0 if there was none. Covers at least the last 8 s.
  MilliUnits LargestCost(Time now);

 private:
  // Lengths of the windows in complete bins. Each window also contains the current bin.
  static constexpr int kLongWindow = 20;
  static constexpr int kShortWindow = 3;
  // Added to bin numbers before the modulo operation, because bin numbers may be negative. The offset is
  // larger than the absolute value of any bin number.
  static constexpr std::int64_t kBinOffset = std::int64_t{1} << 40;
  static constexpr Span kCoarseBinWidth = 8 * kBinWidth;
  // The fine scale is used if its charges add up to at least this many times the largest cost.
  static constexpr MilliUnits kMinFineCharges = 32;

  /// A long and a short sliding window over bins of one width.
  class Scale {
   public:
    Scale(Span bin_width, Span min_window) : bin_width_(bin_width), min_window_(min_window) {}
    void Advance(Time now);
    void Add(MilliUnits cost) { Bin(current_bin_) += cost; }
    MilliUnits Sum(int bins) const;
    MilliUnits LongSum() const { return Sum(kLongWindow); }
    /// Returns whether the rate in the short window differs significantly from that in the rest of the long
    /// one.
    bool HasShifted(Time now, double largest_cost) const;
    double Rate(Time now) const;
    /// Discards the charges of bins that lie more than `bins` bins before the current bin.
    void KeepLast(int bins) { first_bin_ = std::max(first_bin_, current_bin_ - bins); }
    /// Discards all charges and puts `sum` into the current bin.
    void Restart(MilliUnits sum);

   private:
    MilliUnits& Bin(std::int64_t number) {
      return bins_[static_cast<std::uint64_t>(number + kBinOffset) % bins_.size()];
    }
    MilliUnits Bin(std::int64_t number) const {
      return bins_[static_cast<std::uint64_t>(number + kBinOffset) % bins_.size()];
    }
    /// Returns the length in seconds of a window of `bins` complete bins and the elapsed part of the current
    /// bin. The window begins no earlier than `first_bin_`, and its length is at least `min_window_`.
    double WindowSeconds(Time now, int bins) const;

    const Span bin_width_;
    const Span min_window_;
    std::array<MilliUnits, kLongWindow + 1> bins_{};
    std::int64_t current_bin_ = -kBinOffset;
    std::int64_t first_bin_ = 0;  // bins before this one are ignored
  };

  void Advance(Time now);

  Scale fine_{kBinWidth, kBinWidth};
  // The windows of the coarse scale are at least half a bin (200 ms) long, so that a single charge counts as
  // the traffic of 200 ms.
  Scale coarse_{kCoarseBinWidth, kCoarseBinWidth / 2};
  Time last_charge_;
  // The largest costs of the current and of the previous period. A period is as long as the long window of
  // the coarse scale.
  std::int64_t period_ = -kBinOffset;
  MilliUnits largest_in_period_ = 0;
  MilliUnits largest_in_last_period_ = 0;
};

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_DEMAND_ESTIMATOR_H_
