// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The configuration's section `state`: where a process stores what outlives it.
#ifndef LOAD_BALANCER_STATE_SECTION_H_
#define LOAD_BALANCER_STATE_SECTION_H_

#include <chrono>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace load_balancer::state {

using Milliseconds = std::chrono::milliseconds;

/// The section; without it only the maintenance set is stored, in $TMPDIR.
struct StateSection {
  bool on = false;
  std::string dir;  ///< empty: $TMPDIR
  Milliseconds snapshot_interval{5000};
  Milliseconds max_age{60000};   ///< an older snapshot is not applied
  Milliseconds peer_wait{2000};  ///< for a peer's state, before /ready, with a fleet and no usable snapshot
};

/// Reads `state` of the file's root object. Appends one line per fault to `faults`.
StateSection ReadState(const nlohmann::json& root, std::vector<std::string>* faults);

}  // namespace load_balancer::state

#endif  // LOAD_BALANCER_STATE_SECTION_H_
