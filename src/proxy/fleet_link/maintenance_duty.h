// SPDX-License-Identifier: Apache-2.0
//
// The servers that operators have taken out, as one for a fleet: the duty's holder alone changes them and
// makes them known. It publishes the whole set, fenced by the lease, and each change by itself, so that a
// change that the next holder has not heard of is merged into its set.
#ifndef LOAD_BALANCER_PROXY_FLEET_LINK_MAINTENANCE_DUTY_H_
#define LOAD_BALANCER_PROXY_FLEET_LINK_MAINTENANCE_DUTY_H_

#include <string>
#include <utility>

#include "base/error/failure.h"
#include "fleet/lease/fencing.h"
#include "fleet/state/state.h"
#include "fleet_link/maintenance_changes.h"
#include "operators.h"

namespace load_balancer::proxy {

class FleetLink;
class MaintenanceController;

class MaintenanceDuty {
 public:
  // Both references outlive the last call; they need not be made yet. `member` is the name of this process in
  // the fleet, `path` names the file of MaintenanceChanges.
  MaintenanceDuty(FleetLink& fleet, MaintenanceController& controller, std::string member, std::string path)
      : fleet_(fleet), controller_(controller), member_(std::move(member)), changes_(std::move(path)) {}

  // Reads what a former process has kept. Called before the process joins the fleet.
  void LoadChanges();

  // DETACH or ATTACH: made under the lease, where duties have leases; the reply says if it is another's.
  void Change(const OperatorCall& call, OnReply reply);

  // This process has become the duty's holder, or is it no more.
  void OnLeaseStatus();
  // The holder has published the whole set.
  void OnFact(const fleet::FencedValue& fact);
  // Another member has published a single change.
  void OnChange(const fleet::FencedValue& value);

 private:
  Result<void> PublishChange(const fleet::LeaseProof& proof, const std::string& id, bool out);
  void Announce(const std::string& id, const MaintenanceChange& change);
  // Adds the changes to the set that is in force, and publishes it if that changes it.
  void ApplyChanges();
  void PublishIfHolder();
  Result<void> Publish(const fleet::LeaseProof& proof);
  Failure NotTheHolder() const;

  FleetLink& fleet_;
  MaintenanceController& controller_;
  const std::string member_;
  MaintenanceChanges changes_;
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_FLEET_LINK_MAINTENANCE_DUTY_H_
