// SPDX-License-Identifier: Apache-2.0
//
// Searches for a run in which the gateways together admit more than a partner's budget.
#ifndef LOAD_BALANCER_MODEL_QUOTA_SEARCH_H_
#define LOAD_BALANCER_MODEL_QUOTA_SEARCH_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/fault.h"

namespace load_balancer::model {

// The seed determines the scenario of a run (model/quota/scenario.h). Bursts are small, and demand moves
// between gateways. Clients let the buckets of accounts fill and then send requests until an account rejects
// one. Clocks err by up to the allowed drift, grants last at most as long as a lease allows, and some charges
// are credited. Messages are delayed and duplicated, leases and addresses are handed over, and faults occur.
// With two fifths of the seeds, the budgets are reloaded, gateway by gateway, and no process restarts. With
// another fifth of the seeds, all gateways restart at once.

// An overspent budget.
struct QuotaFinding {
  std::uint64_t seed = 0;
  std::string partner;
  double excess = 0;  // units in excess of the budget
  std::string text;   // a description of the time window
};

// Returns the faults of the seed's scenario.
std::vector<Fault> DrawQuotaFaults(std::uint64_t seed);

// Runs the seed's scenario for 20 s with the given faults, and checks all time windows of any length. Returns
// the first overspent budget, or nothing.
std::optional<QuotaFinding> RunQuotaScenario(std::uint64_t seed, const std::vector<Fault>& faults);

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_QUOTA_SEARCH_H_
