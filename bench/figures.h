// SPDX-License-Identifier: Apache-2.0
//
// Figures of samples, for all benchmarks.
#ifndef LOAD_BALANCER_BENCH_FIGURES_H_
#define LOAD_BALANCER_BENCH_FIGURES_H_

#include <algorithm>
#include <cmath>
#include <vector>

namespace load_balancer::bench {

// The nearest sample; not a number without any.
inline double Quantile(std::vector<double> values, double q) {
  if (values.empty()) return std::nan("");
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(q * static_cast<double>(values.size() - 1) + 0.5)];
}

}  // namespace load_balancer::bench

#endif  // LOAD_BALANCER_BENCH_FIGURES_H_
