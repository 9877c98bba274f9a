// SPDX-License-Identifier: Apache-2.0
//
// Amounts as whole numbers, so that sums of parts are exact and nothing is gained by rounding.
#ifndef LOAD_BALANCER_QUOTA_AMOUNT_H_
#define LOAD_BALANCER_QUOTA_AMOUNT_H_

#include <algorithm>
#include <cstdint>

namespace load_balancer::quota {

// Thousandths of a budget's unit (a request, or a millisecond of hinted work), or of the unit a second.
using Milli = std::int64_t;

inline constexpr Milli kOne = 1000;
// Of one budget. Within them no product of a rate and a burst, and no level of a bucket, overflows 64 bits.
inline constexpr Milli kMostRate = 1'000'000 * kOne;  // a second
inline constexpr Milli kMostBurst = 9'000'000 * kOne;

// A part of a budget: what one gateway's bucket fills at a second, and its depth.
struct Part {
  Milli rate = 0;
  Milli depth = 0;
  bool operator==(const Part&) const = default;
};
inline Part Smaller(const Part& a, const Part& b) {
  return {std::min(a.rate, b.rate), std::min(a.depth, b.depth)};
}
inline Part Larger(const Part& a, const Part& b) {
  return {std::max(a.rate, b.rate), std::max(a.depth, b.depth)};
}
inline Part operator+(const Part& a, const Part& b) { return {a.rate + b.rate, a.depth + b.depth}; }
inline Part operator-(const Part& a, const Part& b) { return {a.rate - b.rate, a.depth - b.depth}; }

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_AMOUNT_H_
