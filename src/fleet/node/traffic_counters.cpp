// SPDX-License-Identifier: Apache-2.0
#include "fleet/node/traffic_counters.h"

namespace load_balancer::fleet {

std::string FormatDropCounters(const TrafficCounters& counts) {
  std::string line;
  for (int i = 0; i < kDropReasons; ++i)
    line += std::string(Name(static_cast<DropReason>(i))) + "=" +
            std::to_string(counts.dropped[static_cast<std::size_t>(i)]) + " ";
  return line + "throttled=" + std::to_string(counts.throttled);
}

}  // namespace load_balancer::fleet
