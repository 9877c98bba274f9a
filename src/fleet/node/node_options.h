// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Options of a node that are not in the configuration's section.
#ifndef LOAD_BALANCER_FLEET_NODE_NODE_OPTIONS_H_
#define LOAD_BALANCER_FLEET_NODE_NODE_OPTIONS_H_

#include <string>
#include <vector>

#include "fleet/lease/leases.h"

namespace load_balancer::fleet {

/// The duties of a site's fleet: watching discovery and changing the maintenance set.
inline constexpr char kDiscoveryDuty[] = "discovery";
inline constexpr char kMaintenanceDuty[] = "maintenance";

/// Without a quorum every member watches discovery, and none changes the maintenance set.
inline std::vector<LeasedRole> SiteLeasedRoles() {
  return {{kDiscoveryDuty, LeasedRoleKind::kAvailable}, {kMaintenanceDuty, LeasedRoleKind::kExclusive}};
}

struct NodeOptions {
  std::string component = "fleet";                     ///< the name in log lines
  std::vector<LeasedRole> duties = SiteLeasedRoles();  ///< leased where the section has a lease term
  std::string votes;  ///< the file that keeps this voter's votes; empty: they are in memory only
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_NODE_NODE_OPTIONS_H_
