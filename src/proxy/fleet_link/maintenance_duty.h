// SPDX-License-Identifier: Apache-2.0
//
// The servers that operators have taken out, as one for a fleet: the duty's holder alone changes them and
// makes them known.
#ifndef LOAD_BALANCER_PROXY_FLEET_LINK_MAINTENANCE_DUTY_H_
#define LOAD_BALANCER_PROXY_FLEET_LINK_MAINTENANCE_DUTY_H_

#include <optional>

#include "base/error/failure.h"
#include "fleet/lease/fencing.h"
#include "fleet/state/state.h"
#include "operators.h"

namespace load_balancer::proxy {

class FleetLink;
class MaintenanceController;

class MaintenanceDuty {
 public:
  // Both outlive the last call; they need not be made yet.
  MaintenanceDuty(FleetLink& fleet, MaintenanceController& controller)
      : fleet_(fleet), controller_(controller) {}

  // DETACH or ATTACH: made under the lease, where duties have leases; the reply says if it is another's.
  void Change(const OperatorCall& call, OnReply reply);

  // This process has become the duty's holder, or is it no more.
  void OnLeaseStatus();
  void OnFact(const fleet::FencedValue& fact);

 private:
  Result<void> Publish(const fleet::LeaseProof& proof);
  Failure NotTheHolder() const;

  FleetLink& fleet_;
  MaintenanceController& controller_;
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_FLEET_LINK_MAINTENANCE_DUTY_H_
