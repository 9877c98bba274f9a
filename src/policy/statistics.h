// SPDX-License-Identifier: Apache-2.0
/// @file
/// Averages, probabilities and the hash function of the decision module.
#ifndef LOAD_BALANCER_SRC_POLICY_STATISTICS_H_
#define LOAD_BALANCER_SRC_POLICY_STATISTICS_H_

#include <cstdint>

#include "load_balancer/balancer.h"

namespace load_balancer {

/// A time later than any time of the caller's clock.
inline constexpr TimePoint kNever{Duration(1e300)};

/// Returns a hash of `value` that is the same at every proxy: the finalizer of MurmurHash3.
std::uint32_t MixBits(std::uint32_t value);

/// Returns the probability of at least `successes` successes in `trials` independent trials, each of which
/// succeeds with `probability`.
double BinomialTail(int successes, int trials, double probability);

/// Computes the exponentially weighted mean and mean absolute deviation. The first samples have equal
/// weights.
class MeanAndDeviation {
 public:
  void Add(double value);

  [[nodiscard]] double mean() const { return mean_; }
  [[nodiscard]] double deviation() const { return deviation_; }
  [[nodiscard]] int samples() const { return samples_; }

 private:
  double mean_ = 0;
  double deviation_ = 0;
  int samples_ = 0;
};

}  // namespace load_balancer

#endif  // LOAD_BALANCER_SRC_POLICY_STATISTICS_H_
