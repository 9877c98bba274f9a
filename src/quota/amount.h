// SPDX-License-Identifier: Apache-2.0
//
/// @file
/// Amounts of a budget as integers. Their sums are exact, so that rounding never adds to a budget.
#ifndef LOAD_BALANCER_QUOTA_AMOUNT_H_
#define LOAD_BALANCER_QUOTA_AMOUNT_H_

#include <algorithm>
#include <cstdint>

namespace load_balancer::quota {

/// Thousandths of a budget's unit (a request, or a millisecond of hinted work), or of that unit per second.
using MilliUnits = std::int64_t;

/// One unit of a budget.
inline constexpr MilliUnits kUnit = 1000;

/// The largest rate and burst of a budget. Within these limits, the product of a rate and a burst fits 64
/// bits, and so does the level of a bucket.
inline constexpr MilliUnits kMaxRate = 1'000'000 * kUnit;  // per second
inline constexpr MilliUnits kMaxBurst = 9'000'000 * kUnit;

/// A portion of a budget: the parameters of one gateway's token bucket.
struct Allocation {
  MilliUnits rate = 0;   ///< Fill rate, per second.
  MilliUnits depth = 0;  ///< Capacity of the bucket.
  bool operator==(const Allocation&) const = default;
};

inline Allocation ElementwiseMin(const Allocation& left, const Allocation& right) {
  return {std::min(left.rate, right.rate), std::min(left.depth, right.depth)};
}
inline Allocation ElementwiseMax(const Allocation& left, const Allocation& right) {
  return {std::max(left.rate, right.rate), std::max(left.depth, right.depth)};
}
inline Allocation operator+(const Allocation& left, const Allocation& right) {
  return {left.rate + right.rate, left.depth + right.depth};
}
inline Allocation operator-(const Allocation& left, const Allocation& right) {
  return {left.rate - right.rate, left.depth - right.depth};
}

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_AMOUNT_H_
