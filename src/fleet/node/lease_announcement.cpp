// SPDX-License-Identifier: Apache-2.0
#include "fleet/node/lease_announcement.h"

#include <algorithm>
#include <cstdint>

namespace load_balancer::fleet {
namespace {

using std::chrono::milliseconds;

constexpr char kHolder[] = "holder";
constexpr char kLeftMs[] = "left_ms";

}  // namespace

std::string AnnouncementKey(const std::string& duty) { return "lease/" + duty; }

nlohmann::json ToJson(const LeaseAnnouncement& announcement) {
  return {{kHolder, announcement.holder}, {kLeftMs, announcement.left.count()}};
}

std::optional<LeaseAnnouncement> ReadLeaseAnnouncement(const FencedValue& fenced, milliseconds max_left) {
  if (fenced.key != AnnouncementKey(fenced.role) || !fenced.value.is_object()) return std::nullopt;
  const auto holder = fenced.value.find(kHolder);
  const auto left = fenced.value.find(kLeftMs);
  if (holder == fenced.value.end() || !holder->is_string()) return std::nullopt;
  if (left == fenced.value.end() || !left->is_number_integer()) return std::nullopt;
  const auto left_ms = std::clamp<std::int64_t>(left->get<std::int64_t>(), 0, max_left.count());
  return LeaseAnnouncement{holder->get<std::string>(), milliseconds(left_ms)};
}

}  // namespace load_balancer::fleet
