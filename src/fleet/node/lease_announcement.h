// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The fenced value by which the holder of a lease makes itself known to members that are not voters.
#ifndef LOAD_BALANCER_FLEET_NODE_LEASE_ANNOUNCEMENT_H_
#define LOAD_BALANCER_FLEET_NODE_LEASE_ANNOUNCEMENT_H_

#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "fleet/state/entry.h"

namespace load_balancer::fleet {

struct LeaseAnnouncement {
  std::string holder;
  std::chrono::milliseconds left{0};  ///< of the lease
};

/// The key of the value that announces the holder of the duty.
std::string AnnouncementKey(const std::string& duty);

nlohmann::json ToJson(const LeaseAnnouncement& announcement);

/// The announcement in a value, with `left` between 0 and `max_left`; nothing if it is another value or
/// malformed.
std::optional<LeaseAnnouncement> ReadLeaseAnnouncement(const FencedValue& fenced,
                                                       std::chrono::milliseconds max_left);

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_NODE_LEASE_ANNOUNCEMENT_H_
