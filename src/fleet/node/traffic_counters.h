// SPDX-License-Identifier: Apache-2.0
//
// What a member has sent, received and dropped.
#ifndef LOAD_BALANCER_FLEET_NODE_TRAFFIC_COUNTERS_H_
#define LOAD_BALANCER_FLEET_NODE_TRAFFIC_COUNTERS_H_

#include <array>
#include <cstdint>
#include <string>

#include "fleet/wire/message.h"

namespace load_balancer::fleet {

struct TrafficCounters {
  std::uint64_t received = 0, sent = 0;               // datagrams
  std::uint64_t bytes_received = 0, bytes_sent = 0;   // of datagrams
  std::array<std::uint64_t, kDropReasons> dropped{};  // received, by DropReason
  std::uint64_t throttled = 0;                        // not sent, for the sake of max_bytes_per_second
};

// "malformed=.. oversized=.. foreign=.. version=.. channel=.. throttled=.."
std::string FormatDropCounters(const TrafficCounters& counts);

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_NODE_TRAFFIC_COUNTERS_H_
