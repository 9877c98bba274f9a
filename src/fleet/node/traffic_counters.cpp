// SPDX-License-Identifier: Apache-2.0
#include "fleet/node/traffic_counters.h"

namespace load_balancer::fleet {

std::string DropsLine(const Counts& counts) {
  std::string line;
  for (int i = 0; i < kDrops; ++i)
    line += std::string(Name(static_cast<Drop>(i))) + "=" +
            std::to_string(counts.dropped[static_cast<std::size_t>(i)]) + " ";
  return line + "throttled=" + std::to_string(counts.throttled);
}

}  // namespace load_balancer::fleet
