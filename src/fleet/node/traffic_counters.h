// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Counters of the datagrams that a member has sent, received and dropped.
#ifndef LOAD_BALANCER_FLEET_NODE_TRAFFIC_COUNTERS_H_
#define LOAD_BALANCER_FLEET_NODE_TRAFFIC_COUNTERS_H_

#include <array>
#include <cstdint>
#include <string>

#include "fleet/wire/message.h"

namespace load_balancer::fleet {

/// Counts the datagrams and bytes that a member has sent, received and dropped.
struct TrafficCounters {
  std::uint64_t received = 0;  ///< datagrams received
  std::uint64_t sent = 0;      ///< datagrams sent
  std::uint64_t bytes_received = 0;
  std::uint64_t bytes_sent = 0;
  std::array<std::uint64_t, kDropReasons> dropped{};  ///< received datagrams, by DropReason
  std::uint64_t throttled = 0;                        ///< datagrams not sent because of max_bytes_per_second
  std::array<std::uint64_t, Message::kKinds> bytes_sent_by_kind{};  ///< by Message::Kind
  std::array<std::uint64_t, Message::kKinds> throttled_by_kind{};   ///< datagrams not sent, by Message::Kind
};

/// Returns "malformed=N oversized=N foreign=N version=N channel=N throttled=N".
std::string FormatDropCounters(const TrafficCounters& counters);
/// Returns "throttled KIND=N ..., sent bytes KIND=N ...". Kinds with a count of 0 are left out.
std::string FormatThrottleCounters(const TrafficCounters& counters);

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_NODE_TRAFFIC_COUNTERS_H_
