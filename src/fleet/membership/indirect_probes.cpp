// SPDX-License-Identifier: Apache-2.0
#include "fleet/membership/indirect_probes.h"

#include <algorithm>

namespace load_balancer::fleet {

std::optional<Errand> Errands::End(std::uint64_t sequence) {
  const auto found = open_.find(sequence);
  if (found == open_.end()) return std::nullopt;
  const Errand ended = found->second;
  open_.erase(found);
  return ended;
}

std::vector<Errand> Errands::EndOverdue(Time now) {
  std::vector<Errand> overdue;
  std::erase_if(open_, [&](const auto& entry) {
    if (now < entry.second.nack_at) return false;
    overdue.push_back(entry.second);
    return true;
  });
  return overdue;
}

Time Errands::Next() const {
  Time next = Time::max();
  for (const auto& [sequence, errand] : open_) next = std::min(next, errand.nack_at);
  return next;
}

}  // namespace load_balancer::fleet
