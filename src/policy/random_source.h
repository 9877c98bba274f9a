// SPDX-License-Identifier: Apache-2.0
/// @file
/// A random source whose draws are the same on every platform.
#ifndef LOAD_BALANCER_SRC_POLICY_RANDOM_SOURCE_H_
#define LOAD_BALANCER_SRC_POLICY_RANDOM_SOURCE_H_

#include <cstdint>
#include <random>

namespace load_balancer {

/// Deterministic from its seed alone. The distributions of the standard library are not used, as their draws
/// differ between implementations.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : engine_(seed) {}

  /// Uniform in [0, 1).
  double UniformReal();

  /// Uniform in [0, bound). `bound` is small against 2^64, so the modulo's bias does not matter.
  std::uint64_t UniformBelow(std::uint64_t bound);

 private:
  std::mt19937_64 engine_;
};

}  // namespace load_balancer

#endif  // LOAD_BALANCER_SRC_POLICY_RANDOM_SOURCE_H_
