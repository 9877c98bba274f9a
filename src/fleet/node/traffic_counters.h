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

struct TrafficCounters {
  std::uint64_t received = 0;  ///< datagrams
  std::uint64_t sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t bytes_sent = 0;
  std::array<std::uint64_t, kDropReasons> dropped{};  ///< received datagrams, by DropReason
  std::uint64_t throttled = 0;                        ///< not sent because of max_bytes_per_second
  std::array<std::uint64_t, Message::kKinds> bytes_sent_by_kind{};  ///< by Message::Kind
  std::array<std::uint64_t, Message::kKinds> throttled_by_kind{};   ///< datagrams, by Message::Kind
};

/// "malformed=N oversized=N foreign=N version=N channel=N throttled=N".
std::string FormatDropCounters(const TrafficCounters& counters);
/// "throttled KIND=N ..., sent bytes KIND=N ...", of the kinds that are not 0.
std::string FormatThrottleCounters(const TrafficCounters& counters);

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_NODE_TRAFFIC_COUNTERS_H_
