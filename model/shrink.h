// SPDX-License-Identifier: Apache-2.0
//
// Minimises the faults that cause a failure, by delta debugging (Zeller, Hildebrandt: "Simplifying and
// Isolating Failure-Inducing Input", 2002).
#ifndef LOAD_BALANCER_MODEL_SHRINK_H_
#define LOAD_BALANCER_MODEL_SHRINK_H_

#include <functional>
#include <vector>

#include "model/fault.h"

namespace load_balancer::model {

// Returns a minimal subset of the faults, in their original order, for which `fails` returns true. If any
// single fault is removed from this subset, `fails` returns false. Returns all faults if `fails` returns
// false for all of them. Calls `fails` at most about n^2 times for n faults.
std::vector<Fault> Shrink(std::vector<Fault> faults,
                          const std::function<bool(const std::vector<Fault>&)>& fails);

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_SHRINK_H_
