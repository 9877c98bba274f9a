// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Roles of which at most one member at a time has the lease. Logs, settings and operators' commands call
/// them duties.
#ifndef LOAD_BALANCER_FLEET_LEASE_LEASED_ROLE_H_
#define LOAD_BALANCER_FLEET_LEASE_LEASED_ROLE_H_

#include <string>
#include <string_view>

namespace load_balancer::fleet {

/// What becomes of a role while no quorum of voters can be reached.
enum class LeasedRoleKind {
  kExclusive,  ///< Nobody performs it.
  kAvailable,  ///< Each member performs it for itself.
};

inline std::string_view Name(LeasedRoleKind kind) {
  return kind == LeasedRoleKind::kExclusive ? "exclusive" : "available";
}

/// A role and how it behaves without a quorum. The name is that of its lease, too.
struct LeasedRole {
  std::string name;
  LeasedRoleKind kind = LeasedRoleKind::kExclusive;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_LEASE_LEASED_ROLE_H_
