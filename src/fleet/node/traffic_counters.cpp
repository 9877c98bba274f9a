// SPDX-License-Identifier: Apache-2.0
#include "fleet/node/traffic_counters.h"

#include <spdlog/fmt/fmt.h>

namespace load_balancer::fleet {

std::string FormatDropCounters(const TrafficCounters& counters) {
  std::string line;
  for (std::size_t i = 0; i < counters.dropped.size(); ++i)
    line += fmt::format("{}={} ", Name(static_cast<DropReason>(i)), counters.dropped[i]);
  return line + fmt::format("throttled={}", counters.throttled);
}

}  // namespace load_balancer::fleet
