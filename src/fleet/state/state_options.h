// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Options of the replicated state and the staleness bounds that follow from them.
#ifndef LOAD_BALANCER_FLEET_STATE_STATE_OPTIONS_H_
#define LOAD_BALANCER_FLEET_STATE_STATE_OPTIONS_H_

#include <cstddef>
#include <string>

#include "fleet/state/entry.h"

namespace load_balancer::fleet {

struct StateOptions {
  std::string name;                  ///< of this member
  bool share_ejections = true;       ///< whether ejections are exchanged
  std::size_t affinity_entries = 0;  ///< affinities stored at most; 0: none are exchanged
  UnixMs affinity_ttl = 4000;
  UnixMs max_clock_skew = 500;  ///< that a timestamp may be ahead of this member's wall clock
  UnixMs max_ejection = 0;      ///< from an ejection's timestamp to its end
  UnixMs propagation_time = 0;  ///< that an ejection may need to reach a member
};

/// The time at which the entry is dropped: its staleness bound.
UnixMs ExpiresAt(const StateOptions& options, const Entry& entry);

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_STATE_STATE_OPTIONS_H_
