// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The options of a member's parts that follow from the configuration's section.
#ifndef LOAD_BALANCER_FLEET_NODE_SECTION_OPTIONS_H_
#define LOAD_BALANCER_FLEET_NODE_SECTION_OPTIONS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "fleet/lease/leases.h"
#include "fleet/membership/options.h"
#include "fleet/section.h"

namespace load_balancer::fleet {

/// `name` is the member's, `seed` that of its random numbers.
MembershipOptions MembershipOptionsOf(const FleetSection& section, const std::string& name,
                                      std::uint64_t incarnation, std::uint64_t seed);

/// The seeds are the voters. The holder's name and the stored votes are left to the caller.
LeaseOptions LeaseOptionsOf(const FleetSection& section, const std::vector<LeasedRole>& duties,
                            std::uint64_t seed);

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_NODE_SECTION_OPTIONS_H_
