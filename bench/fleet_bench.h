// SPDX-License-Identifier: Apache-2.0
//
// What the fleet's benchmarks share: figures of samples, and what members count. They start real processes by
// the tests' harness.
#ifndef LOAD_BALANCER_BENCH_FLEET_BENCH_H_
#define LOAD_BALANCER_BENCH_FLEET_BENCH_H_

#include <set>

#include "cluster.h"
#include "figures.h"

namespace load_balancer::bench {

using namespace testing::fleet;
using Clock = std::chrono::steady_clock;

inline double Seconds(Clock::duration span) { return std::chrono::duration<double>(span).count(); }

// That each live member has sent so far, in the mean.
inline double BytesSent(Cluster& cluster, const std::set<std::size_t>& dead) {
  double sum = 0;
  for (std::size_t i = 0; i < cluster.size(); ++i)
    if (!dead.contains(i)) sum += static_cast<double>(cluster.Counter(i, "bytes_sent"));
  return sum / static_cast<double>(cluster.size() - dead.size());
}

}  // namespace load_balancer::bench

#endif  // LOAD_BALANCER_BENCH_FLEET_BENCH_H_
