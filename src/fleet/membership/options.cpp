// SPDX-License-Identifier: Apache-2.0
#include "fleet/membership/options.h"

#include <algorithm>
#include <cmath>

namespace load_balancer::fleet {

Span MinSuspicionTimeout(const MembershipOptions& options, std::size_t members) {
  const double size_factor = std::max(1.0, std::log10(std::max<double>(1, static_cast<double>(members))));
  return std::chrono::duration_cast<Span>(options.probe_interval *
                                          (options.suspicion_multiplier * size_factor));
}

int MaxTransmissions(const MembershipOptions& options, std::size_t members) {
  return options.retransmit_multiplier *
         static_cast<int>(std::ceil(std::log10(static_cast<double>(members) + 1)));
}

Span DetectionBound(const MembershipOptions& options, std::size_t members) {
  const auto gossip_intervals = static_cast<std::size_t>(MaxTransmissions(options, members));
  return options.probe_interval * (2 * members + gossip_intervals) +
         MinSuspicionTimeout(options, members) * kSuspicionTimeoutRatio;
}

}  // namespace load_balancer::fleet
