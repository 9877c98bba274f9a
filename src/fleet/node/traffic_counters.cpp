// SPDX-License-Identifier: Apache-2.0
#include "fleet/node/traffic_counters.h"

#include <spdlog/fmt/fmt.h>

namespace load_balancer::fleet {
namespace {

std::string FormatByKind(const std::array<std::uint64_t, Message::kKinds>& counts) {
  std::string text;
  for (std::size_t i = 0; i < counts.size(); ++i)
    if (counts[i] > 0) text += fmt::format(" {}={}", Name(static_cast<Message::Kind>(i)), counts[i]);
  return text;
}

}  // namespace

std::string FormatDropCounters(const TrafficCounters& counters) {
  std::string line;
  for (std::size_t i = 0; i < counters.dropped.size(); ++i)
    line += fmt::format("{}={} ", Name(static_cast<DropReason>(i)), counters.dropped[i]);
  return line + fmt::format("throttled={}", counters.throttled);
}

std::string FormatThrottleCounters(const TrafficCounters& counters) {
  return "throttled" + FormatByKind(counters.throttled_by_kind) + ", sent bytes" +
         FormatByKind(counters.bytes_sent_by_kind);
}

}  // namespace load_balancer::fleet
