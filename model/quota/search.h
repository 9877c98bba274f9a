// SPDX-License-Identifier: Apache-2.0
//
// A search for a run in which gateways together admit more than a partner's budget.
#ifndef LOAD_BALANCER_MODEL_QUOTA_SEARCH_H_
#define LOAD_BALANCER_MODEL_QUOTA_SEARCH_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/fault.h"

namespace load_balancer::model {

// A scenario is a function of its seed (model/quota/scenario.h): small bursts, clients that spend all that an
// account lets through and save up before, demand that moves, clocks at the ends of what the drift allows,
// grants up to as long as a lease may be, credits, messages that come late and twice, leases and addresses
// given away, and faults. In two of five the budgets change in service, gateway by gateway, and no process
// restarts; in another fifth all gateways restart at once.
struct QuotaFinding {
  std::uint64_t seed = 0;
  std::string partner;
  double over = 0;   // units over the bound
  std::string text;  // of the window
};

std::vector<Fault> QuotaFaults(std::uint64_t seed);

// Plays 20 s of the seed's scenario with these faults. Every window of every length is checked.
std::optional<QuotaFinding> PlayQuota(std::uint64_t seed, const std::vector<Fault>& faults);

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_QUOTA_SEARCH_H_
