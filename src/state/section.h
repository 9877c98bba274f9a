// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Reads the configuration section `state`, which configures where and how often a process stores its
/// snapshots.
#ifndef LOAD_BALANCER_STATE_SECTION_H_
#define LOAD_BALANCER_STATE_SECTION_H_

#include <chrono>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace load_balancer::state {

using Milliseconds = std::chrono::milliseconds;

/// StateSection holds the settings of the section. Without the section, a process stores only its maintenance
/// set, in $TMPDIR.
struct StateSection {
  bool on = false;  ///< whether the section is present
  std::string dir;  ///< folder of the snapshots; empty: $TMPDIR
  Milliseconds snapshot_interval{5000};
  Milliseconds max_age{60000};  ///< maximum age of a snapshot that is applied
  /// If a member of a fleet has no usable snapshot, /ready does not succeed before the member has received
  /// the state of a peer or this time has passed.
  Milliseconds peer_wait{2000};
};

/// Reads the section from the root object of the configuration. Appends one line per fault to `faults`.
StateSection ReadState(const nlohmann::json& root, std::vector<std::string>* faults);

}  // namespace load_balancer::state

#endif  // LOAD_BALANCER_STATE_SECTION_H_
