// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Options of the replicated state, and the time at which an entry expires under these options.
#ifndef LOAD_BALANCER_FLEET_STATE_STATE_OPTIONS_H_
#define LOAD_BALANCER_FLEET_STATE_STATE_OPTIONS_H_

#include <cstddef>
#include <string>

#include "fleet/state/entry.h"

namespace load_balancer::fleet {

/// StateOptions configures the replicated state of one member. Times are in milliseconds.
struct StateOptions {
  std::string name;                  ///< name of this member
  bool share_ejections = true;       ///< whether members exchange ejections
  std::size_t affinity_entries = 0;  ///< maximum number of stored affinities; 0: none are exchanged
  UnixMs affinity_ttl = 4000;        ///< time from the timestamp of an affinity to its expiry
  UnixMs max_clock_skew = 500;       ///< maximum time that a timestamp may be ahead of the wall clock
  UnixMs max_ejection = 0;           ///< longest time from the timestamp of an ejection to its end
  UnixMs propagation_time = 0;       ///< longest time that an ejection takes to reach a member
};

/// Returns the time at which the entry expires and is erased.
UnixMs ExpiresAt(const StateOptions& options, const Entry& entry);

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_STATE_STATE_OPTIONS_H_
