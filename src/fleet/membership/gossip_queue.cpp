// SPDX-License-Identifier: Apache-2.0
#include "fleet/membership/gossip_queue.h"

#include <algorithm>
#include <vector>

namespace load_balancer::fleet {

void GossipQueue::Transmit(const std::string& receiver, int max_transmissions,
                           const std::function<bool(const Update&)>& accept) {
  std::vector<QueuedUpdate*> candidates;
  for (auto& [name, queued] : by_member_)
    if (name != receiver) candidates.push_back(&queued);
  std::stable_sort(candidates.begin(), candidates.end(), [](const QueuedUpdate* a, const QueuedUpdate* b) {
    return a->transmissions < b->transmissions;
  });
  for (QueuedUpdate* queued : candidates) {
    if (!accept(queued->update)) break;
    ++queued->transmissions;
  }
  std::erase_if(by_member_, [max_transmissions](const auto& entry) {
    return entry.second.transmissions >= max_transmissions;
  });
}

}  // namespace load_balancer::fleet
