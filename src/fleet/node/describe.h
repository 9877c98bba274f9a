// SPDX-License-Identifier: Apache-2.0
//
// A member and what it shares, in one line for operators.
#ifndef LOAD_BALANCER_FLEET_NODE_DESCRIBE_H_
#define LOAD_BALANCER_FLEET_NODE_DESCRIBE_H_

#include <string>

#include "fleet/membership/membership.h"
#include "fleet/node/traffic_counters.h"
#include "fleet/state/state.h"

namespace load_balancer::fleet {

// Every member as "name state incarnation age", this one first, and the counts.
std::string DescribeMembers(const Membership& membership, const TrafficCounters& counts, Time now);

// Of each kind of shared state how much is held, its newest and oldest age, the share of the limit, and what
// was refused.
std::string DescribeState(const SharedState::Summary& all, int limit, int share);

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_NODE_DESCRIBE_H_
