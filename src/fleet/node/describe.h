// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The answers to the operators' calls MEMBERS and STATE, each in one line.
#ifndef LOAD_BALANCER_FLEET_NODE_DESCRIBE_H_
#define LOAD_BALANCER_FLEET_NODE_DESCRIBE_H_

#include <string>

#include "fleet/membership/membership.h"
#include "fleet/node/traffic_counters.h"
#include "fleet/state/state.h"

namespace load_balancer::fleet {

/// Every member as "name state incarnation age", this one first, and the traffic counters.
std::string DescribeMembers(const Membership& membership, const TrafficCounters& counters, Time now);

/// The count and the newest and oldest age of each kind of entry, the fleet's limit and this member's share
/// of it, and how many entries were rejected for which reason.
std::string DescribeState(const SharedState::Summary& summary, int limit, int share);

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_NODE_DESCRIBE_H_
