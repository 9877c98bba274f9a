// SPDX-License-Identifier: Apache-2.0
#include "fleet/state/fencing_tokens.h"

#include <algorithm>

namespace load_balancer::fleet {

std::uint64_t Fences::Of(const std::string& duty) const {
  const auto found = fences_.find(duty);
  return found == fences_.end() ? 0 : found->second.token;
}

bool Fences::Raise(const std::string& duty, std::uint64_t token, UnixMs written) {
  Fence& fence = fences_[duty];
  by_end_.erase({fence.until, duty});
  fence.until = std::max(fence.until, written + kLongestFact);
  by_end_.emplace(fence.until, duty);
  if (token <= fence.token) return false;
  fence.token = token;
  return true;
}

void Fences::Expire(UnixMs now) {
  while (!by_end_.empty() && by_end_.begin()->first <= now) {
    fences_.erase(by_end_.begin()->second);
    by_end_.erase(by_end_.begin());
  }
}

}  // namespace load_balancer::fleet
