// SPDX-License-Identifier: Apache-2.0
//
// What a fleet tells the process that is a member of it.
#ifndef LOAD_BALANCER_FLEET_NODE_FLEET_LISTENER_H_
#define LOAD_BALANCER_FLEET_NODE_FLEET_LISTENER_H_

#include <string>

#include "fleet/lease/leases.h"
#include "fleet/state/state.h"

namespace load_balancer::fleet {

class FleetListener {
 public:
  virtual ~FleetListener() = default;
  // Whether discovery's list has the server now.
  virtual bool IsListed(const std::string& server) const = 0;
  virtual void OnEjection(const Ejection& ejection) = 0;
  virtual void OnKeyAffinity(const KeyAffinity& affinity, UnixMs written) = 0;
  // Of the fleet's limit of requests in flight at one server, what is this process's.
  virtual void OnLimitShare(int most_in_flight) = 0;
  // A peer's whole table and state have come for the first time.
  virtual void OnJoined() = 0;
  // What this process is to a duty from now on.
  virtual void OnLeaseStatus(const std::string& duty, LeaseStatus status) = 0;
  // The holder of a duty has made this known.
  virtual void OnFencedValue(const FencedValue& fenced) = 0;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_NODE_FLEET_LISTENER_H_
