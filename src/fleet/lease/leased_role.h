// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Roles whose lease is held by at most one member at a time. Logs, settings and operators' commands call
/// such a role a duty.
#ifndef LOAD_BALANCER_FLEET_LEASE_LEASED_ROLE_H_
#define LOAD_BALANCER_FLEET_LEASE_LEASED_ROLE_H_

#include <string>
#include <string_view>

namespace load_balancer::fleet {

/// Determines who performs a role while no quorum of voters can be reached.
enum class LeasedRoleKind {
  kExclusive,  ///< No member performs the role.
  kAvailable,  ///< Each member performs the role for itself.
};

inline std::string_view Name(LeasedRoleKind kind) {
  return kind == LeasedRoleKind::kExclusive ? "exclusive" : "available";
}

/// A role and its behaviour without a quorum. The lease has the same name as the role.
struct LeasedRole {
  std::string name;
  LeasedRoleKind kind = LeasedRoleKind::kExclusive;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_LEASE_LEASED_ROLE_H_
