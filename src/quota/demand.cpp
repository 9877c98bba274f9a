// SPDX-License-Identifier: Apache-2.0
#include "quota/demand.h"

#include <algorithm>
#include <cmath>

namespace brackenspoke::quota {

void Demand::Advance(Time now) {
  const std::int64_t bin = now.time_since_epoch() / kBin;
  if (bin <= bin_) return;
  const std::int64_t passed = bin - bin_;
  if (passed > kLong) first_ = bin;
  for (std::int64_t b = std::max(bin_ + 1, bin - kLong); b <= bin; ++b) Bin(b) = 0;
  if (passed >= kLong || bin / kLong != bin_ / kLong) {
    largest_before_ = passed > 2 * kLong ? 0 : largest_;
    largest_ = 0;
  }
  bin_ = bin;
}

void Demand::Add(Time now, Milli cost) {
  Advance(now);
  Bin(bin_) += cost;
  largest_ = std::max(largest_, cost);
}

Milli Demand::Sum(int bins) {
  Milli sum = 0;
  for (std::int64_t b = bin_; b >= bin_ - bins && b >= first_; --b) sum += Bin(b);
  return sum;
}

Milli Demand::Largest(Time now) {
  Advance(now);
  return std::max(largest_, largest_before_);
}

Milli Demand::Estimate(Time now) {
  Advance(now);
  // A window in seconds: so many whole bins and what has passed of the present one, and no more than there
  // has been traffic for, but a whole bin at least.
  const double bin = std::chrono::duration<double>(kBin).count();
  const double part = std::chrono::duration<double>(now.time_since_epoch() % kBin).count();
  const auto window = [&](int bins) {
    return std::max(bin, static_cast<double>(std::min<std::int64_t>(bins, bin_ - first_)) * bin + part);
  };
  const auto in_long = static_cast<double>(Sum(kLong)), in_short = static_cast<double>(Sum(kShort));
  const double longer = window(kLong), shorter = window(kShort);
  const double rate = in_long / longer;
  if (longer <= shorter) return std::llround(rate);
  const double expected = (in_long - in_short) / (longer - shorter) * shorter;
  const auto largest = static_cast<double>(std::max(largest_, largest_before_));
  const bool silent = in_short == 0 && expected > 7 * largest;
  const bool shifted = silent || std::abs(in_short - expected) > 3 * std::sqrt(expected * largest) + largest;
  if (!shifted) return std::llround(rate);
  first_ = std::max(first_, bin_ - kShort);
  return std::llround(in_short / shorter);
}

}  // namespace brackenspoke::quota
