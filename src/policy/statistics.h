// SPDX-License-Identifier: Apache-2.0
// What the decision module counts with: a random source and averages. No decisions.
#ifndef LOAD_BALANCER_SRC_POLICY_STATISTICS_H_
#define LOAD_BALANCER_SRC_POLICY_STATISTICS_H_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <random>
#include <utility>

#include "load_balancer/balancer.h"

namespace load_balancer {

constexpr TimePoint kNever{Duration(1e300)};

// Deterministic from its seed alone; the standard distributions differ between libraries.
struct Random {
  std::mt19937_64 engine;
  double Unit() { return static_cast<double>(engine() >> 11) * 0x1.0p-53; }
  std::uint64_t Below(std::uint64_t n) { return engine() % n; }
};

// A hash that every proxy shares: all bits of an id mixed, as MurmurHash3 ends.
inline std::uint32_t MixBits(std::uint32_t x) {
  x = (x ^ (x >> 16)) * 0x85ebca6bu;
  x = (x ^ (x >> 13)) * 0xc2b2ae35u;
  return x ^ (x >> 16);
}

// The probability of `k` or more of `n`, each of them with probability `p`.
inline double AtLeast(int k, int n, double p) {
  double sum = 0;
  for (; k <= n; ++k) {
    const double ways = std::lgamma(n + 1) - std::lgamma(k + 1) - std::lgamma(n - k + 1);
    sum += std::exp(ways) * std::pow(p, k) * std::pow(1 - p, n - k);
  }
  return sum;
}

// Mean and mean deviation, exponentially weighted.
struct Spread {
  double mean = 0, deviation = 0;
  int samples = 0;

  void Add(double x) {
    const double gain = std::max(0.02, 1.0 / ++samples);
    if (samples == 1) mean = x, deviation = x / 2;
    deviation += gain * (std::abs(x - mean) - deviation);
    mean += gain * (x - mean);
  }
};

}  // namespace load_balancer

#endif  // LOAD_BALANCER_SRC_POLICY_STATISTICS_H_
