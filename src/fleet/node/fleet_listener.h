// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The interface through which a Node notifies its process of changes in the fleet.
#ifndef LOAD_BALANCER_FLEET_NODE_FLEET_LISTENER_H_
#define LOAD_BALANCER_FLEET_NODE_FLEET_LISTENER_H_

#include <string>

#include "fleet/lease/leases.h"
#include "fleet/state/state.h"

namespace load_balancer::fleet {

/// Receives the notifications of a Node.
class FleetListener {
 public:
  virtual ~FleetListener() = default;
  /// Returns whether discovery currently lists the server.
  virtual bool IsListed(const std::string& server) const = 0;
  /// Called when another member has ejected a server.
  virtual void OnEjection(const Ejection& ejection) = 0;
  /// Called when another member reports that it sent a request with this key to this server. `written` is the
  /// time at which that member recorded it.
  virtual void OnKeyAffinity(const KeyAffinity& affinity, UnixMs written) = 0;
  /// Called when this process's share of the fleet's limit changes. The process may have up to
  /// `max_in_flight` requests in flight at any one server.
  virtual void OnLimitShare(int max_in_flight) = 0;
  /// Called once, when the complete member table and shared state of a peer have been received.
  virtual void OnJoined() = 0;
  /// Called when the status of this process for the leased role `duty` has changed or its lease was renewed.
  virtual void OnLeaseStatus(const std::string& duty, LeaseStatus status) = 0;
  /// Called when the lease holder of a role has published a value.
  virtual void OnFencedValue(const FencedValue& fenced) = 0;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_NODE_FLEET_LISTENER_H_
