// SPDX-License-Identifier: Apache-2.0
#include "fleet/state/state_options.h"

#include <algorithm>

namespace load_balancer::fleet {

UnixMs ExpiresAt(const StateOptions& options, const Entry& entry) {
  const UnixMs written = MillisecondsOf(entry.version.stamp);
  if (const auto* ejection = std::get_if<Ejection>(&entry.content))
    return std::min(ejection->until, written + options.max_ejection + options.propagation_time);
  if (const auto* fenced = std::get_if<FencedValue>(&entry.content)) return fenced->until;
  return written + options.affinity_ttl;
}

}  // namespace load_balancer::fleet
