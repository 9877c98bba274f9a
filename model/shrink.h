// SPDX-License-Identifier: Apache-2.0
//
// Removes faults that a failure does not need: delta debugging (Zeller, Hildebrandt: "Simplifying and
// Isolating Failure-Inducing Input", 2002).
#ifndef LOAD_BALANCER_MODEL_SHRINK_H_
#define LOAD_BALANCER_MODEL_SHRINK_H_

#include <functional>
#include <vector>

#include "model/fault.h"

namespace load_balancer::model {

// Some of the faults, in their order, with which it still fails and without any one of which it does not.
// All of them if `fails` is false for all. Calls `fails` at most about n^2 times.
std::vector<Fault> Shrink(std::vector<Fault> faults,
                          const std::function<bool(const std::vector<Fault>&)>& fails);

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_SHRINK_H_
