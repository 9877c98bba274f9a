// SPDX-License-Identifier: Apache-2.0
//
// One run of a whole system: a function of its seed, its options and its faults.
#ifndef LOAD_BALANCER_MODEL_SYSTEM_SYSTEM_H_
#define LOAD_BALANCER_MODEL_SYSTEM_SYSTEM_H_

#include <cstdint>
#include <string>
#include <vector>

#include "model/fault.h"
#include "model/system/checks.h"
#include "model/system/scenario.h"

namespace load_balancer::model {

struct SystemResult {
  std::vector<std::string> broken;  // nothing: all rules hold
  Checks::Counts counts;
  std::uint64_t requests = 0, served = 0, history = 0;
};

SystemResult PlaySystem(std::uint64_t seed, const SystemOptions& options, const std::vector<Fault>& faults);

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_SYSTEM_SYSTEM_H_
