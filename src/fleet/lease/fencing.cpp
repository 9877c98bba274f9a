// SPDX-License-Identifier: Apache-2.0
#include "fleet/lease/fencing.h"

#include <algorithm>

#include "fleet/lease/failures.h"

namespace load_balancer::fleet {

bool LeaseProof::IsValid(Time now) const { return lease_ && !lease_->is_released && now < deadline_; }

void LeaseProof::ExtendEffects(Time until) const {
  if (lease_) lease_->effects_until = std::max(lease_->effects_until, std::min(until, deadline_));
}

Result<void> Fence::Admit(const LeaseProof& proof, Time now) {
  if (!proof.IsValid(now)) return tl::unexpected(Failure(kLeaseExpired, proof.lease_name()));
  return Admit(proof.lease_name(), proof.token());
}

Result<void> Fence::Admit(const std::string& lease_name, FencingToken token) {
  FencingToken& largest = largest_tokens_[lease_name];
  if (token < largest)
    return tl::unexpected(Failure(kStaleToken, lease_name,
                                  "token " + std::to_string(token) + " after " + std::to_string(largest)));
  largest = token;
  return {};
}

}  // namespace load_balancer::fleet
