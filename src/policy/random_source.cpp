// SPDX-License-Identifier: Apache-2.0
#include "policy/random_source.h"

namespace load_balancer {
namespace {

// A double has a mantissa of 53 bits.
constexpr int kDiscardedBits = 64 - 53;
constexpr double kMantissaUnit = 0x1.0p-53;

}  // namespace

double RandomSource::UniformReal() {
  return static_cast<double>(engine_() >> kDiscardedBits) * kMantissaUnit;
}

std::uint64_t RandomSource::UniformBelow(std::uint64_t bound) { return engine_() % bound; }

}  // namespace load_balancer
