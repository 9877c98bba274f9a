// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Conversion of the configuration section `fleet` to the options of membership and leases.
#ifndef LOAD_BALANCER_FLEET_NODE_SECTION_OPTIONS_H_
#define LOAD_BALANCER_FLEET_NODE_SECTION_OPTIONS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "fleet/lease/leases.h"
#include "fleet/membership/options.h"
#include "fleet/section.h"

namespace load_balancer::fleet {

/// Returns the membership options for a section. `name` is the member's name, and `seed` seeds its random
/// numbers.
MembershipOptions MembershipOptionsOf(const FleetSection& section, const std::string& name,
                                      std::uint64_t incarnation, std::uint64_t seed);

/// Returns the lease options for a section. The section's seeds become the voters. The caller sets the holder
/// name and the stored votes.
LeaseOptions LeaseOptionsOf(const FleetSection& section, const std::vector<LeasedRole>& duties,
                            std::uint64_t seed);

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_NODE_SECTION_OPTIONS_H_
