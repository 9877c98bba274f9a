// SPDX-License-Identifier: Apache-2.0
//
// What a seed draws for a whole system: its configuration, loads, partners and faults.
#ifndef LOAD_BALANCER_MODEL_SYSTEM_SCENARIO_H_
#define LOAD_BALANCER_MODEL_SYSTEM_SCENARIO_H_

#include <cstdint>
#include <vector>

#include "model/fault.h"
#include "model/site/scene.h"
#include "model/system/wiring.h"

namespace load_balancer::model {

struct SystemOptions {
  std::size_t sites = 3, gateways = 3;      // gateways of each site
  Moment length{std::chrono::seconds(30)};  // until the clients stop; at least kLeastLength
};

// Clients ask from the start; there are faults from kFaultsFrom to kRecovery before the clients stop, and
// they have stopped for kDrain at the end of a run.
inline constexpr Moment kFaultsFrom = std::chrono::seconds(6), kRecovery = std::chrono::seconds(12),
                        kDrain = std::chrono::seconds(8);
inline constexpr Moment kLeastLength = kFaultsFrom + kRecovery + std::chrono::seconds(1);

// Each is a function of what is given.
Wiring WiringOf(std::uint64_t seed, const SystemOptions& options);
SceneOptions SceneOf(std::uint64_t seed, const SystemOptions& options, const Wiring& wiring);
// Of gateways and servers, in the order of their beginnings.
std::vector<Fault> SystemFaults(std::uint64_t seed, const SystemOptions& options);
// Whether, with these faults, all wall clocks stay within Options::max_clock_skew of each other.
bool SkewKept(std::uint64_t seed, const std::vector<Fault>& faults, const Wiring& wiring);

bool LosesDisks(const std::vector<Fault>& faults);

// Loads, partners and operators' drains of the whole run, to happen at their moments.
void Schedule(std::uint64_t seed, const SystemOptions& options, Scene& scene);

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_SYSTEM_SCENARIO_H_
