// SPDX-License-Identifier: Apache-2.0
/// @file
/// Averages, probabilities and the hash that the decision module counts with. No decisions.
#ifndef LOAD_BALANCER_SRC_POLICY_STATISTICS_H_
#define LOAD_BALANCER_SRC_POLICY_STATISTICS_H_

#include <cstdint>

#include "load_balancer/balancer.h"

namespace load_balancer {

/// Later than any time of a caller's clock.
inline constexpr TimePoint kNever{Duration(1e300)};

/// A hash that is the same at every proxy: the finalizer of MurmurHash3.
std::uint32_t MixBits(std::uint32_t value);

/// The probability of `successes` or more in `trials` independent trials that each succeed with
/// `probability`.
double BinomialTail(int successes, int trials, double probability);

/// Mean and mean absolute deviation, exponentially weighted. The first samples have equal weights.
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
