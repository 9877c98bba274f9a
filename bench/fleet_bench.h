// SPDX-License-Identifier: Apache-2.0
//
// What the fleet's benchmarks share: figures of samples, and what members count. They start real processes by
// the tests' harness.
#ifndef BRACKENSPOKE_BENCH_FLEET_BENCH_H_
#define BRACKENSPOKE_BENCH_FLEET_BENCH_H_

#include <algorithm>
#include <cmath>
#include <set>

#include "cluster.h"

namespace brackenspoke::bench {

using namespace testing::fleet;
using Clock = std::chrono::steady_clock;

inline double Seconds(Clock::duration span) { return std::chrono::duration<double>(span).count(); }

inline double Quantile(std::vector<double> values, double q) {
  if (values.empty()) return std::nan("");
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(q * static_cast<double>(values.size() - 1) + 0.5)];
}

// That each live member has sent so far, in the mean.
inline double BytesSent(Cluster& cluster, const std::set<std::size_t>& dead) {
  double sum = 0;
  for (std::size_t i = 0; i < cluster.size(); ++i)
    if (!dead.contains(i)) sum += static_cast<double>(cluster.Counted(i, "bytes_sent"));
  return sum / static_cast<double>(cluster.size() - dead.size());
}

}  // namespace brackenspoke::bench

#endif  // BRACKENSPOKE_BENCH_FLEET_BENCH_H_
