// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The fenced value that announces the holder of a lease to members that are not voters.
#ifndef LOAD_BALANCER_FLEET_NODE_LEASE_ANNOUNCEMENT_H_
#define LOAD_BALANCER_FLEET_NODE_LEASE_ANNOUNCEMENT_H_

#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "fleet/state/entry.h"

namespace load_balancer::fleet {

/// Contains the name of a lease's holder and the time for which the lease remains valid.
struct LeaseAnnouncement {
  std::string holder;
  std::chrono::milliseconds left{0};  ///< remaining time of the lease
};

/// Returns the key of the fenced value that announces the lease holder of the role `duty`.
std::string AnnouncementKey(const std::string& duty);

/// Returns the announcement as the content of a fenced value.
nlohmann::json ToJson(const LeaseAnnouncement& announcement);

/// Reads an announcement from a fenced value and limits `left` to the range from 0 to `max_left`. Returns
/// nothing if the value is not an announcement or is malformed.
std::optional<LeaseAnnouncement> ReadLeaseAnnouncement(const FencedValue& fenced,
                                                       std::chrono::milliseconds max_left);

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_NODE_LEASE_ANNOUNCEMENT_H_
