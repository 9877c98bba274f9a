// SPDX-License-Identifier: Apache-2.0
#include "fleet/state/fencing_tokens.h"

#include <algorithm>

namespace load_balancer::fleet {

std::uint64_t FencingTokens::HighestOf(const std::string& duty) const {
  const auto found = tokens_.find(duty);
  return found == tokens_.end() ? 0 : found->second.token;
}

bool FencingTokens::Raise(const std::string& duty, std::uint64_t token, UnixMs written) {
  HighestToken& highest = tokens_[duty];
  by_expiry_.erase({highest.expires_at, duty});
  highest.expires_at = std::max(highest.expires_at, written + kMaxValueLifetime);
  by_expiry_.insert({highest.expires_at, duty});
  if (token <= highest.token) return false;
  highest.token = token;
  return true;
}

void FencingTokens::Expire(UnixMs now) {
  while (!by_expiry_.empty() && by_expiry_.begin()->expires_at <= now) {
    tokens_.erase(by_expiry_.begin()->duty);
    by_expiry_.erase(by_expiry_.begin());
  }
}

}  // namespace load_balancer::fleet
