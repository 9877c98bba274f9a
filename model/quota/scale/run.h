// SPDX-License-Identifier: Apache-2.0
//
// Runs many gateways and partners, and compares the product's quotas with other rate limiters.
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
  kShifts,       // as kMoving, but every 5 s; the first 2 s after each move are not measured
  kHolderCrash,  // the holder of a lease crashes; only partners whose allocators' leases it held are measured
  kPartition,    // the last third of the sites is cut off from the others during the first half
};

// The options of a run.
struct RunOptions {
  Scenario scenario = Scenario::kSteady;
  std::size_t sites = 3, per_site = 3, partners = 3, allocators = 4;
  std::size_t gateways_per_partner = 9;  // gateways at which a partner has traffic
  double rate_per_gateway = 20;  // a partner's budget, in requests per second per gateway with traffic
  double burst_s = 2;            // the burst, in seconds of the budget's rate
  // Fraction of the budget that is reserved. Nothing is reserved if a gateway's part of it would have a depth
  // of less than one request.
  double reserved_minimums = 0.3;
  // The demand as a fraction of the budget: of partners with even numbers, then of those with odd numbers.
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
  // The largest excess of a partner's admitted requests over rate x window + burst, in requests. All time
  // windows since the start are considered.
  double excess = 0;
  double requests = 0;                                   // number of requests
  std::array<double, kLimiterCount> admitted{};          // admitted requests, by limiter
  std::array<double, kLimiterCount> wrongly_rejected{};  // rejected, but admitted by the ideal limiter
  std::array<double, kLimiterCount> fairness{};  // mean of the partners' Jain indices, weighted by demand
  double budget = 0;                             // per second, of all measured partners
  // Requests that the product and the ideal limiter admitted before the crash, in a period as long as the
  // measured one.
  double admitted_before = 0, ideal_before = 0;
  double central_delay_ms = 0;     // mean delay that the central counter adds to a request
  double central_unreachable = 0;  // requests that could not reach the central counter
  Costs gateways, allocators;      // costs during the measured time
  double seconds = 0;              // the measured time
};

// Runs a scenario and returns the measurements.
RunResult Run(const RunOptions& options);

}  // namespace load_balancer::model::scale

#endif  // LOAD_BALANCER_MODEL_QUOTA_SCALE_RUN_H_
