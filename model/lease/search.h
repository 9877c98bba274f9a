// SPDX-License-Identifier: Apache-2.0
//
// Model checking of leases. Explores every sequence of steps of a LeaseCluster up to a depth, breadth first,
// so that the first violation found has a shortest path. States with equal fingerprints are explored once. A
// state is rebuilt by applying its steps again.
#ifndef LOAD_BALANCER_MODEL_LEASE_SEARCH_H_
#define LOAD_BALANCER_MODEL_LEASE_SEARCH_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/lease/cluster.h"

namespace load_balancer::model {

// The state in which a search starts: the state after `steps`, which do not count towards the depth.
struct InitialState {
  std::string name;
  ClusterOptions options;
  std::vector<Step> steps;
};

// Returns the initial states, such as a holder with a new lease, a renewal that is granted late, and a start
// without disks.
std::vector<InitialState> InitialStates();

// A violation and the steps that lead to it.
struct Counterexample {
  std::string violation;
  std::vector<std::string> trace;  // one line per step
};

// The result and the extent of a search.
struct SearchResult {
  std::uint64_t states = 0;  // number of different states
  std::uint64_t steps = 0;   // number of applied steps, without those that rebuild a state
  int depth = 0;             // depth up to which all sequences were explored
  std::optional<Counterexample> counterexample;
};

// Explores all sequences of up to `depth` steps. Stops early once it has seen `max_states` states.
SearchResult Search(const InitialState& initial_state, int depth, std::uint64_t max_states);

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_LEASE_SEARCH_H_
