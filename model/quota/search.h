// SPDX-License-Identifier: Apache-2.0
//
// A search for a run in which gateways together admit more than a partner's budget.
#ifndef BRACKENSPOKE_MODEL_QUOTA_SEARCH_H_
#define BRACKENSPOKE_MODEL_QUOTA_SEARCH_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/fault.h"

namespace brackenspoke::model {

// A scenario is a function of its seed: budgets, traffic that moves between gateways at up to several times
// the budget, clocks as far apart as the drift allows, credits, answers that are sent late, and faults. In
// every fourth all gateways restart at once; in every other fourth the budgets change in service, gateway by
// gateway, and no process restarts.
struct QuotaFinding {
  std::uint64_t seed = 0;
  std::string partner;
  double over = 0;   // units over the bound
  std::string text;  // of the window
};

std::vector<Fault> QuotaFaults(std::uint64_t seed);

// Plays 20 s of the seed's scenario with these faults. Every window of every length is checked.
std::optional<QuotaFinding> PlayQuota(std::uint64_t seed, const std::vector<Fault>& faults);

}  // namespace brackenspoke::model

#endif  // BRACKENSPOKE_MODEL_QUOTA_SEARCH_H_
