// SPDX-License-Identifier: Apache-2.0
#include "fleet/membership/suspicions.h"

#include <algorithm>
#include <cmath>

namespace load_balancer::fleet {
namespace {

// Returns Lifeguard's timeout, which shrinks from `max_timeout` to `min_timeout` with the logarithm of the
// number of confirmations.
Span TimeoutAfter(int confirmations, int wanted_confirmations, Span min_timeout, Span max_timeout) {
  if (wanted_confirmations <= 0) return min_timeout;
  const double fraction = std::log(confirmations + 1.0) / std::log(wanted_confirmations + 1.0);
  const auto timeout = max_timeout - std::chrono::duration_cast<Span>((max_timeout - min_timeout) * fraction);
  return std::max(timeout, min_timeout);
}

}  // namespace

void Suspicions::Begin(Time now, const Update& update, Span min_timeout, std::size_t present_members) {
  Suspicion suspicion;
  suspicion.began_at = now;
  suspicion.min_timeout = min_timeout;
  suspicion.max_timeout = min_timeout * kSuspicionTimeoutRatio;
  // All members except the suspect and its accuser can confirm the suspicion.
  suspicion.wanted_confirmations = std::min(kMaxConfirmations, static_cast<int>(present_members) - 2);
  suspicion.accusers.insert(update.accuser);
  suspicion.expires_at =
      now + TimeoutAfter(0, suspicion.wanted_confirmations, suspicion.min_timeout, suspicion.max_timeout);
  by_member_[update.name] = std::move(suspicion);
}

bool Suspicions::Confirm(const Update& update) {
  const auto found = by_member_.find(update.name);
  if (found == by_member_.end()) return false;
  Suspicion& suspicion = found->second;
  const int confirmations = static_cast<int>(suspicion.accusers.size()) - 1;
  if (confirmations >= suspicion.wanted_confirmations) return false;
  const bool is_new_accuser = suspicion.accusers.insert(update.accuser).second;
  if (!is_new_accuser) return false;
  suspicion.expires_at = suspicion.began_at + TimeoutAfter(confirmations + 1, suspicion.wanted_confirmations,
                                                           suspicion.min_timeout, suspicion.max_timeout);
  return true;
}

void Suspicions::Postpone(Span stalled_for) {
  for (auto& [name, suspicion] : by_member_) {
    suspicion.began_at += stalled_for;
    suspicion.expires_at += stalled_for;
  }
}

std::vector<std::string> Suspicions::FirstSuspects(std::size_t max_count) const {
  std::vector<std::string> names;
  for (const auto& [name, suspicion] : by_member_) {
    if (names.size() >= max_count) break;
    names.push_back(name);
  }
  return names;
}

std::vector<std::string> Suspicions::ExpiredSuspects(Time now) const {
  std::vector<std::string> names;
  for (const auto& [name, suspicion] : by_member_)
    if (now >= suspicion.expires_at) names.push_back(name);
  return names;
}

Time Suspicions::NextExpiry() const {
  Time next = Time::max();
  for (const auto& [name, suspicion] : by_member_) next = std::min(next, suspicion.expires_at);
  return next;
}

}  // namespace load_balancer::fleet
