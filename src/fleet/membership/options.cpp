// SPDX-License-Identifier: Apache-2.0
#include "fleet/membership/options.h"

#include <algorithm>
#include <cmath>

namespace load_balancer::fleet {

Span ShortestSuspicion(const MembershipOptions& options, std::size_t members) {
  const double nodes = std::max(1.0, std::log10(std::max<double>(1, static_cast<double>(members))));
  return std::chrono::duration_cast<Span>(options.probe_interval * (options.suspicion_multiplier * nodes));
}

int MostTransmits(const MembershipOptions& options, std::size_t members) {
  return options.retransmit_multiplier *
         static_cast<int>(std::ceil(std::log10(static_cast<double>(members) + 1)));
}

Span DetectionBound(const MembershipOptions& options, std::size_t members) {
  return options.probe_interval * (2 * members + static_cast<std::size_t>(MostTransmits(options, members))) +
         ShortestSuspicion(options, members) * kLongestSuspicion;
}

}  // namespace load_balancer::fleet
