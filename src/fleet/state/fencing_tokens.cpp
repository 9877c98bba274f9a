// SPDX-License-Identifier: Apache-2.0
#include "fleet/state/fencing_tokens.h"

#include <algorithm>

namespace load_balancer::fleet {

std::uint64_t FencingTokens::HighestOf(const std::string& role) const {
  const auto found = tokens_.find(role);
  return found == tokens_.end() ? 0 : found->second.token;
}

bool FencingTokens::Raise(const std::string& role, std::uint64_t token, UnixMs written_at) {
  HighestToken& highest = tokens_[role];
  by_expiry_.erase({highest.expires_at, role});
  highest.expires_at = std::max(highest.expires_at, written_at + kMaxValueLifetime);
  by_expiry_.insert({highest.expires_at, role});
  if (token <= highest.token) return false;
  highest.token = token;
  return true;
}

void FencingTokens::Expire(UnixMs now) {
  while (!by_expiry_.empty() && by_expiry_.begin()->expires_at <= now) {
    tokens_.erase(by_expiry_.begin()->role);
    by_expiry_.erase(by_expiry_.begin());
  }
}

}  // namespace load_balancer::fleet
