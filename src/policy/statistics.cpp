// SPDX-License-Identifier: Apache-2.0
#include "policy/statistics.h"

#include <algorithm>
#include <cmath>

namespace load_balancer {
namespace {

constexpr double kMinGain = 0.02;  // minimum weight of a new sample, reached after 50 samples

}  // namespace

std::uint32_t MixBits(std::uint32_t value) {
  value = (value ^ (value >> 16)) * 0x85ebca6bu;
  value = (value ^ (value >> 13)) * 0xc2b2ae35u;
  return value ^ (value >> 16);
}

double BinomialTail(int successes, int trials, double probability) {
  double sum = 0;
  for (int count = successes; count <= trials; ++count) {
    const double log_combinations =
        std::lgamma(trials + 1) - std::lgamma(count + 1) - std::lgamma(trials - count + 1);
    sum +=
        std::exp(log_combinations) * std::pow(probability, count) * std::pow(1 - probability, trials - count);
  }
  return sum;
}

void MeanAndDeviation::Add(double value) {
  ++samples_;
  if (samples_ == 1) {
    mean_ = value;
    deviation_ = value / 2;
  }
  const double gain = std::max(kMinGain, 1.0 / samples_);
  deviation_ += gain * (std::abs(value - mean_) - deviation_);
  mean_ += gain * (value - mean_);
}

}  // namespace load_balancer
