// SPDX-License-Identifier: Apache-2.0
#include "fleet/lease/lease_state.h"

#include <algorithm>
#include <array>

#include "fleet/lease/fingerprint.h"

namespace load_balancer::fleet {
namespace {

// These names appear in logs and operators' commands.
constexpr std::array<std::string_view, 4> kStatusNames{"alone", "holder", "follower", "waiting"};

}  // namespace

std::string_view Name(LeaseStatus status) { return kStatusNames.at(static_cast<std::size_t>(status)); }

bool LeaseState::HasExpiry() const {
  if (status == LeaseStatus::kWaiting) return kind == LeasedRoleKind::kAvailable;
  return status != LeaseStatus::kStandalone;
}

LeaseStatus LeaseState::StatusAt(Time now) const {
  const bool has_lease = status == LeaseStatus::kHolder || status == LeaseStatus::kFollower;
  return has_lease && now >= until ? LeaseStatus::kWaiting : status;
}

// No request is sent while actions of this member have effects: voters would treat a request for a larger
// token as a release of the previous one.
Time LeaseState::NextAttemptAt() const { return std::max(next_attempt, effects_until); }

bool LeaseState::MayRequest(bool is_released) const {
  return !acquisition.is_request_open() && !is_released && status != LeaseStatus::kFollower;
}

Time LeaseState::NextDeadline(bool is_released) const {
  Time next = Time::max();
  if (HasExpiry()) next = std::min(next, until);
  if (pending_release.remaining_transmissions > 0) next = std::min(next, pending_release.next_transmission);
  if (acquisition.is_request_open())
    next = std::min({next, acquisition.request_deadline(), acquisition.next_retransmit()});
  if (MayRequest(is_released)) next = std::min(next, NextAttemptAt());
  return next;
}

void LeaseState::AppendFingerprint(Time now, Span term, std::vector<std::uint64_t>* words) const {
  const bool is_releasing = pending_release.remaining_transmissions > 0;
  words->insert(words->end(),
                {FingerprintOf(name), static_cast<std::uint64_t>(status), FingerprintOf(holder), token,
                 largest_token, FingerprintOf(now, until), FingerprintOf(now, next_attempt),
                 FingerprintOf(now, effects_until), static_cast<std::uint64_t>(failed_attempts),
                 static_cast<std::uint64_t>(pending_release.remaining_transmissions),
                 is_releasing ? FingerprintOf(now, pending_release.next_transmission) : 0,
                 is_releasing ? pending_release.token : 0});
  acquisition.AppendFingerprint(now, term, words);
}

}  // namespace load_balancer::fleet
