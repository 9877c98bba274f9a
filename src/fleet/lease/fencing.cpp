// SPDX-License-Identifier: Apache-2.0
#include "fleet/lease/fencing.h"

#include <algorithm>

#include "fleet/lease/failures.h"

namespace load_balancer::fleet {

bool LeaseGuard::Holds(Time now) const { return lease_ && !lease_->over && now < deadline_; }

void LeaseGuard::Outlasts(Time until) const {
  if (lease_) lease_->effects_until = std::max(lease_->effects_until, std::min(until, deadline_));
}

Result<void> Fence::Admit(const LeaseGuard& guard, Time now) {
  if (!guard.Holds(now)) return tl::unexpected(Failure(kPastDeadline, guard.duty()));
  return Admit(guard.duty(), guard.token());
}

Result<void> Fence::Admit(const std::string& duty, Token token) {
  Token& largest = largest_[duty];
  if (token < largest)
    return tl::unexpected(
        Failure(kOlderToken, duty, std::to_string(token) + " after " + std::to_string(largest)));
  largest = token;
  return {};
}

}  // namespace load_balancer::fleet
