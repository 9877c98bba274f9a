// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Options of a node that the configuration section `fleet` does not contain.
#ifndef LOAD_BALANCER_FLEET_NODE_NODE_OPTIONS_H_
#define LOAD_BALANCER_FLEET_NODE_NODE_OPTIONS_H_

#include <string>
#include <vector>

#include "fleet/lease/leases.h"

namespace load_balancer::fleet {

/// The leased roles of a site's fleet: polling discovery for the list of servers, and changing the
/// maintenance set.
inline constexpr char kDiscoveryDuty[] = "discovery";
inline constexpr char kMaintenanceDuty[] = "maintenance";
/// Name under which members publish the single changes of the maintenance set. It is not the name of a lease.
inline constexpr char kMaintenanceChanges[] = "maintenance-changes";

/// Returns the leased roles of a site's fleet. Without a quorum of voters every member polls discovery, and
/// no member changes the maintenance set.
inline std::vector<LeasedRole> SiteLeasedRoles() {
  return {{kDiscoveryDuty, LeasedRoleKind::kAvailable}, {kMaintenanceDuty, LeasedRoleKind::kExclusive}};
}

/// Options of a node.
struct NodeOptions {
  std::string component = "fleet";                     ///< component name in log lines
  std::vector<LeasedRole> duties = SiteLeasedRoles();  ///< leased if the section sets a lease term
  std::string votes;  ///< path of the file that stores this voter's votes; if empty, they are kept in memory
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_NODE_NODE_OPTIONS_H_
