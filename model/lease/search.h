// SPDX-License-Identifier: Apache-2.0
//
// Model checking of leases: every sequence of steps of a Table up to a depth, breadth first, so that the
// first one that breaks something is a shortest one. A state is rebuilt by doing its steps anew, and looked
// at once, by its fingerprint.
#ifndef LOAD_BALANCER_MODEL_LEASE_SEARCH_H_
#define LOAD_BALANCER_MODEL_LEASE_SEARCH_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/lease/cluster.h"

namespace load_balancer::model {

// Where a search begins: after these steps, which count nothing towards its depth.
struct Beginning {
  std::string name;
  TableOptions options;
  std::vector<Step> steps;
};

// A holder that has just been granted; one whose renewal is answered late; a start without disks; and others.
std::vector<Beginning> Beginnings();

struct Found {
  std::string what;
  std::vector<std::string> trace;  // one line a step
};

struct SearchResult {
  std::uint64_t states = 0, steps = 0;  // looked at, done (without those of rebuilding)
  int depth = 0;                        // up to which all were done
  std::optional<Found> found;
};

// Ends early, with the depth that it has reached, once it has looked at `most_states`.
SearchResult Search(const Beginning& beginning, int depth, std::uint64_t most_states);

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_LEASE_SEARCH_H_
