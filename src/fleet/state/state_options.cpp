// SPDX-License-Identifier: Apache-2.0
#include "fleet/state/state_options.h"

#include <algorithm>

namespace load_balancer::fleet {

UnixMs ExpiresAt(const StateOptions& options, const Entry& entry) {
  const UnixMs written_at = MillisecondsOf(entry.version.stamp);
  if (const auto* ejection = std::get_if<Ejection>(&entry.content))
    return std::min(ejection->until, written_at + options.max_ejection + options.propagation_time);
  if (const auto* fenced = std::get_if<FencedValue>(&entry.content)) return fenced->until;
  return written_at + options.affinity_ttl;
}

}  // namespace load_balancer::fleet
