// SPDX-License-Identifier: Apache-2.0
#include "quota/demand_estimator.h"

#include <cmath>

namespace load_balancer::quota {
namespace {

// The traffic has ended if, at the estimated rate, this many charges would have come since the last one.
constexpr double kEndOfTrafficCharges = 7;
// The fewest charges in a window from which a shift can be detected.
constexpr double kMinShiftCharges = 8;
// A shift is a difference of more than this many standard deviations between the rate in the short window and
// the rate in the rest of the long window.
constexpr double kShiftDeviations = 3;

double Seconds(Span span) { return std::chrono::duration<double>(span).count(); }

}  // namespace

void DemandEstimator::Scale::Advance(Time now) {
  const std::int64_t bin = now.time_since_epoch() / bin_width_;
  if (bin <= current_bin_) return;
  if (bin - current_bin_ > kLongWindow) first_bin_ = bin;
  for (std::int64_t skipped = std::max(current_bin_ + 1, bin - kLongWindow); skipped <= bin; ++skipped)
    Bin(skipped) = 0;
  current_bin_ = bin;
}

MilliUnits DemandEstimator::Scale::Sum(int bins) const {
  MilliUnits sum = 0;
  for (std::int64_t bin = current_bin_; bin >= current_bin_ - bins && bin >= first_bin_; --bin)
    sum += Bin(bin);
  return sum;
}

double DemandEstimator::Scale::WindowSeconds(Time now, int bins) const {
  const auto complete = static_cast<double>(std::min<std::int64_t>(bins, current_bin_ - first_bin_));
  const Span elapsed = now.time_since_epoch() % bin_width_;
  return std::max(Seconds(min_window_), complete * Seconds(bin_width_) + Seconds(elapsed));
}

double DemandEstimator::Scale::Rate(Time now) const {
  return static_cast<double>(LongSum()) / WindowSeconds(now, kLongWindow);
}

bool DemandEstimator::Scale::HasShifted(Time now, double largest_cost) const {
  const double long_seconds = WindowSeconds(now, kLongWindow);
  const double short_seconds = WindowSeconds(now, kShortWindow);
  if (long_seconds <= short_seconds) return false;
  const auto in_long = static_cast<double>(LongSum());
  const auto in_short = static_cast<double>(Sum(kShortWindow));
  const double expected = (in_long - in_short) / (long_seconds - short_seconds) * short_seconds;
  if (std::max(in_short, expected) < kMinShiftCharges * largest_cost) return false;
  const double deviation = std::sqrt(expected * largest_cost);
  return std::abs(in_short - expected) > kShiftDeviations * deviation + largest_cost;
}

void DemandEstimator::Scale::Restart(MilliUnits sum) {
  first_bin_ = current_bin_;
  Bin(current_bin_) = sum;
}

void DemandEstimator::Advance(Time now) {
  fine_.Advance(now);
  coarse_.Advance(now);
  const std::int64_t period = now.time_since_epoch() / (kLongWindow * kCoarseBinWidth);
  if (period <= period_) return;
  largest_in_last_period_ = period == period_ + 1 ? largest_in_period_ : 0;
  largest_in_period_ = 0;
  period_ = period;
}

void DemandEstimator::Add(Time now, MilliUnits cost) {
  Advance(now);
  fine_.Add(cost);
  coarse_.Add(cost);
  last_charge_ = now;
  largest_in_period_ = std::max(largest_in_period_, cost);
}

MilliUnits DemandEstimator::LargestCost(Time now) {
  Advance(now);
  return std::max(largest_in_period_, largest_in_last_period_);
}

MilliUnits DemandEstimator::Estimate(Time now) {
  const MilliUnits largest_cost = LargestCost(now);
  if (largest_cost == 0) return 0;
  const auto largest = static_cast<double>(largest_cost);
  if (fine_.HasShifted(now, largest)) {
    fine_.KeepLast(kShortWindow);
    coarse_.Restart(fine_.LongSum());
  } else if (coarse_.HasShifted(now, largest)) {
    coarse_.KeepLast(kShortWindow);
  }
  const bool use_fine = fine_.LongSum() >= kMinFineCharges * largest_cost;
  const double rate = use_fine ? fine_.Rate(now) : coarse_.Rate(now);
  const Span silence = now - last_charge_;
  const bool is_over =
      silence >= kShortWindow * kBinWidth && !(rate * Seconds(silence) <= kEndOfTrafficCharges * largest);
  if (!is_over) return std::llround(rate);
  fine_.Restart(0);
  coarse_.Restart(0);
  return 0;
}

}  // namespace load_balancer::quota
