// SPDX-License-Identifier: Apache-2.0
#include "fleet/membership/indirect_probes.h"

#include <algorithm>

namespace load_balancer::fleet {

std::optional<IndirectProbe> IndirectProbes::Finish(std::uint64_t sequence) {
  const auto found = by_sequence_.find(sequence);
  if (found == by_sequence_.end()) return std::nullopt;
  const IndirectProbe finished = found->second;
  by_sequence_.erase(found);
  return finished;
}

std::vector<IndirectProbe> IndirectProbes::FinishOverdue(Time now) {
  std::vector<IndirectProbe> overdue;
  std::erase_if(by_sequence_, [&](const auto& entry) {
    if (now < entry.second.nack_at) return false;
    overdue.push_back(entry.second);
    return true;
  });
  return overdue;
}

Time IndirectProbes::NextNack() const {
  Time next = Time::max();
  for (const auto& [sequence, probe] : by_sequence_) next = std::min(next, probe.nack_at);
  return next;
}

}  // namespace load_balancer::fleet
