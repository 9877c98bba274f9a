// SPDX-License-Identifier: Apache-2.0
//
// One run of many gateways and partners, and how quotas fared in it beside the other ways to keep a budget.
#ifndef LOAD_BALANCER_MODEL_QUOTA_SCALE_RUN_H_
#define LOAD_BALANCER_MODEL_QUOTA_SCALE_RUN_H_

#include <array>
#include <cstdint>

#include "model/quota/scale/gateway_cluster.h"

namespace load_balancer::model::scale {

enum class Scenario {
  kSteady,     // uneven, and the same all the time
  kMoving,     // each second all of a partner's demand goes to another third of its gateways
  kShifts,     // the same each 5 s, counted from 2 s after each
  kDeath,      // the holder of a duty dies; of the partners of its duties
  kPartition,  // the last third of the sites is cut off from the others for the first half
};

struct RunOptions {
  Scenario scenario = Scenario::kSteady;
  std::size_t sites = 3, per_site = 3, partners = 3, allocators = 4;
  std::size_t active = 9;                  // gateways that a partner has traffic at
  double per_s = 20;                       // of a partner's budget for each of these
  double burst_s = 2;                      // of the budget's rate
  double reserved_minimums = 0.3;          // of the budget, where a gateway's part is one request or more
  std::array<double, 2> demand{1.5, 0.7};  // of the budget, of every other partner
  Moment warm = std::chrono::seconds(12);
  Moment counted = std::chrono::seconds(20);
  std::uint64_t seed = 1;
  double (*processor_s)() = nullptr;  // as of Crowd
};

// By the product, the static division, the central counter and the all-knowing gate.
enum Way : std::size_t { kProduct, kStatic, kCentral, kIdeal, kWays };

struct Figures {
  double over = 0;  // requests of the worst partner over rate x window + burst, all windows from the start on
  double asked = 0;
  std::array<double, kWays> spent{};             // requests let through
  std::array<double, kWays> refused_in_error{};  // refused, and the all-knowing gate lets them through
  std::array<double, kWays> fairness{};          // Jain's index, mean of partners by their demand
  double budget = 0;                             // a second, of all partners that count
  double spent_before = 0, ideal_before = 0;     // in as much time before the count began
  double way_ms = 0;                             // that the central counter adds to a request, mean
  double unanswered = 0;                         // requests that found no central counter
  Costs gateways, allocators;                    // in the count's time
  double seconds = 0;                            // of the count
};

Figures Run(const RunOptions& options);

}  // namespace load_balancer::model::scale

#endif  // LOAD_BALANCER_MODEL_QUOTA_SCALE_RUN_H_
