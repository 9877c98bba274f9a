// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Formats the one-line answers to the operators' calls MEMBERS and STATE.
#ifndef LOAD_BALANCER_FLEET_NODE_DESCRIBE_H_
#define LOAD_BALANCER_FLEET_NODE_DESCRIBE_H_

#include <string>

#include "fleet/membership/membership.h"
#include "fleet/node/traffic_counters.h"
#include "fleet/state/state.h"

namespace load_balancer::fleet {

/// Returns every member as "name state incarnation age", starting with this one, and then the traffic
/// counters. The age is the time since the member's state or incarnation last changed.
std::string DescribeMembers(const Membership& membership, const TrafficCounters& counters, Time now);

/// Returns the count and the newest and oldest age of each kind of entry, the fleet's limit of requests in
/// flight at one server, this member's share of that limit, and the number of rejected entries by reason.
std::string DescribeState(const SharedState::Summary& summary, int limit, int share);

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_NODE_DESCRIBE_H_
