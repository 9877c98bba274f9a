// SPDX-License-Identifier: Apache-2.0
#include "fleet/membership/gossip_queue.h"

#include <algorithm>
#include <vector>

namespace load_balancer::fleet {

void News::PassOn(const std::string& receiver, int most, const std::function<bool(const Update&)>& take) {
  std::vector<Item*> fresh;
  for (auto& [name, item] : by_name_)
    if (name != receiver) fresh.push_back(&item);
  std::stable_sort(fresh.begin(), fresh.end(),
                   [](const Item* a, const Item* b) { return a->transmits < b->transmits; });
  for (Item* item : fresh) {
    if (!take(item->update)) break;
    ++item->transmits;
  }
  std::erase_if(by_name_, [most](const auto& entry) { return entry.second.transmits >= most; });
}

}  // namespace load_balancer::fleet
