// SPDX-License-Identifier: Apache-2.0
//
// Runs many gateways and partners, and compares quotas with the other limiters.
#ifndef LOAD_BALANCER_MODEL_QUOTA_SCALE_RUN_H_
#define LOAD_BALANCER_MODEL_QUOTA_SCALE_RUN_H_

#include <array>
#include <cstdint>

#include "model/quota/scale/gateway_cluster.h"

namespace load_balancer::model::scale {

// How demand or the cluster changes during a run.
enum class Scenario {
  kSteady,       // demand is uneven and constant
  kMoving,       // each second, all demand of a partner moves to another third of its gateways
  kShifts,       // the same every 5 s; the first 2 s after each shift are not measured
  kHolderCrash,  // the holder of a lease crashes; only the partners of its leases are measured
  kPartition,    // the last third of the sites is cut off from the others during the first half
};

// The options of a run.
struct RunOptions {
  Scenario scenario = Scenario::kSteady;
  std::size_t sites = 3, per_site = 3, partners = 3, allocators = 4;
  std::size_t gateways_per_partner = 9;  // gateways at which a partner has traffic
  double rate_per_gateway = 20;          // a partner's budget per second, for each of these gateways
  double burst_s = 2;                    // the burst, in seconds of the budget's rate
  // Fraction of the budget that is reserved, if a gateway's part has a depth of at least one request.
  double reserved_minimums = 0.3;
  // The demand of partners with even and of partners with odd numbers, as a fraction of the budget.
  std::array<double, 2> demand{1.5, 0.7};
  Moment warmup = std::chrono::seconds(12);
  Moment measured = std::chrono::seconds(20);
  std::uint64_t seed = 1;
  double (*cpu_seconds)() = nullptr;  // see GatewayClusterOptions
};

// The limiters that are compared: the product, the static division, the central counter and the ideal
// limiter.
enum Limiter : std::size_t { kProduct, kStatic, kCentral, kIdeal, kLimiterCount };

// The measurements of a run.
struct RunResult {
  // The largest excess of a partner over rate x window + burst, in requests, of all windows since the start.
  double excess = 0;
  double requests = 0;                                   // number of requests
  std::array<double, kLimiterCount> admitted{};          // admitted requests, by limiter
  std::array<double, kLimiterCount> wrongly_rejected{};  // rejected, though the ideal limiter admits them
  std::array<double, kLimiterCount> fairness{};          // Jain's index, mean of partners weighted by demand
  double budget = 0;                                     // per second, of all measured partners
  // Requests admitted by the product and by the ideal limiter, in a period of equal length before the crash.
  double admitted_before = 0, ideal_before = 0;
  double central_delay_ms = 0;     // mean delay that the central counter adds to a request
  double central_unreachable = 0;  // requests that could not reach the central counter
  Costs gateways, allocators;      // during the measured time
  double seconds = 0;              // the measured time
};

// Runs a scenario and returns the measurements.
RunResult Run(const RunOptions& options);

}  // namespace load_balancer::model::scale

#endif  // LOAD_BALANCER_MODEL_QUOTA_SCALE_RUN_H_
