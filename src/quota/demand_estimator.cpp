// SPDX-License-Identifier: Apache-2.0
#include "quota/demand_estimator.h"

#include <cmath>

namespace load_balancer::quota {
namespace {

constexpr double kSilent = 7;   // charges expected in silence that is the end
constexpr double kNoticed = 8;  // charges without which no window is a shift

double Seconds(Span span) { return std::chrono::duration<double>(span).count(); }

}  // namespace

void Demand::Scale::Advance(Time now) {
  const std::int64_t bin = now.time_since_epoch() / width_;
  if (bin <= bin_) return;
  const std::int64_t passed = bin - bin_;
  if (passed > kLong) first_ = bin;
  for (std::int64_t b = std::max(bin_ + 1, bin - kLong); b <= bin; ++b) Bin(b) = 0;
  bin_ = bin;
}

Milli Demand::Scale::Sum(int bins) const {
  Milli sum = 0;
  for (std::int64_t b = bin_; b >= bin_ - bins && b >= first_; --b) sum += Bin(b);
  return sum;
}

double Demand::Scale::Window(Time now, int bins) const {
  const auto whole = static_cast<double>(std::min<std::int64_t>(bins, bin_ - first_));
  return std::max(Seconds(least_), whole * Seconds(width_) + Seconds(now.time_since_epoch() % width_));
}

double Demand::Scale::Rate(Time now) const { return static_cast<double>(Counted()) / Window(now, kLong); }

bool Demand::Scale::Shifted(Time now, double largest) const {
  const double longer = Window(now, kLong), shorter = Window(now, kShort);
  if (longer <= shorter) return false;
  const auto in_long = static_cast<double>(Counted()), in_short = static_cast<double>(Sum(kShort));
  const double expected = (in_long - in_short) / (longer - shorter) * shorter;
  if (std::max(in_short, expected) < kNoticed * largest) return false;
  return std::abs(in_short - expected) > 3 * std::sqrt(expected * largest) + largest;
}

void Demand::Scale::Restart(Milli sum) {
  first_ = bin_;
  Bin(bin_) = sum;
}

void Demand::Advance(Time now) {
  fine_.Advance(now);
  coarse_.Advance(now);
  const std::int64_t period = now.time_since_epoch() / (kLong * kCoarse);
  if (period <= period_) return;
  largest_before_ = period == period_ + 1 ? largest_ : 0;
  largest_ = 0;
  period_ = period;
}

void Demand::Add(Time now, Milli cost) {
  Advance(now);
  fine_.Add(cost);
  coarse_.Add(cost);
  last_ = now;
  largest_ = std::max(largest_, cost);
}

Milli Demand::Largest(Time now) {
  Advance(now);
  return std::max(largest_, largest_before_);
}

Milli Demand::Estimate(Time now) {
  const Milli most = Largest(now);
  if (most == 0) return 0;
  const auto largest = static_cast<double>(most);
  if (fine_.Shifted(now, largest)) {
    fine_.CountFrom(kShort);
    coarse_.Restart(fine_.Counted());
  } else if (coarse_.Shifted(now, largest)) {
    coarse_.CountFrom(kShort);
  }
  const double rate = fine_.Counted() >= kTelling * most ? fine_.Rate(now) : coarse_.Rate(now);
  const Span silence = now - last_;
  if (silence < kShort * kBin || rate * Seconds(silence) <= kSilent * largest) return std::llround(rate);
  fine_.Restart(0);
  coarse_.Restart(0);
  return 0;
}

}  // namespace load_balancer::quota
