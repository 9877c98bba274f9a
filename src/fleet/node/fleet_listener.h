// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The interface by which a fleet informs the process that is a member of it.
#ifndef LOAD_BALANCER_FLEET_NODE_FLEET_LISTENER_H_
#define LOAD_BALANCER_FLEET_NODE_FLEET_LISTENER_H_

#include <string>

#include "fleet/lease/leases.h"
#include "fleet/state/state.h"

namespace load_balancer::fleet {

class FleetListener {
 public:
  virtual ~FleetListener() = default;
  /// Whether discovery lists the server now.
  virtual bool IsListed(const std::string& server) const = 0;
  /// Another member has ejected a server.
  virtual void OnEjection(const Ejection& ejection) = 0;
  /// Another member sent a request with the key to the server at `written`.
  virtual void OnKeyAffinity(const KeyAffinity& affinity, UnixMs written) = 0;
  /// This process may have so many requests in flight at one server.
  virtual void OnLimitShare(int max_in_flight) = 0;
  /// The whole table and state of a peer have been received for the first time.
  virtual void OnJoined() = 0;
  /// The role of this process in a duty has changed or was renewed.
  virtual void OnLeaseStatus(const std::string& duty, LeaseStatus status) = 0;
  /// The lease holder of a duty has published a value.
  virtual void OnFencedValue(const FencedValue& fenced) = 0;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_NODE_FLEET_LISTENER_H_
