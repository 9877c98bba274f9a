// SPDX-License-Identifier: Apache-2.0
/// @file
/// A random number generator whose results are the same on every platform.
#ifndef LOAD_BALANCER_SRC_POLICY_RANDOM_SOURCE_H_
#define LOAD_BALANCER_SRC_POLICY_RANDOM_SOURCE_H_

#include <cstdint>
#include <random>

namespace load_balancer {

/// Generates random numbers that depend on the seed alone. Does not use the distributions of the standard
/// library, as their results differ between implementations.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : engine_(seed) {}

  /// Returns a uniformly distributed number in [0, 1).
  double UniformReal();

  /// Returns a uniformly distributed integer in [0, bound). `bound` must be much smaller than 2^64, so that
  /// the bias of the modulo operation is negligible.
  std::uint64_t UniformBelow(std::uint64_t bound);

 private:
  std::mt19937_64 engine_;
};

}  // namespace load_balancer

#endif  // LOAD_BALANCER_SRC_POLICY_RANDOM_SOURCE_H_
