// SPDX-License-Identifier: Apache-2.0
#include "fleet/lease/acquisition.h"

#include <algorithm>
#include <functional>

#include "fleet/lease/fingerprint.h"

namespace load_balancer::fleet {

void LeaseAcquisition::BeginRequest(Time now, std::uint64_t number, const RequestTiming& timing) {
  std::erase_if(sent_, [&](const auto& request) { return request.second + timing.term <= now; });
  sent_[number] = now;
  denied_.clear();
  is_request_open_ = true;
  request_deadline_ = now + timing.timeout;
  next_retransmit_ = now + timing.retransmit_interval;
}

bool LeaseAcquisition::HasAnswered(const Endpoint& voter) const {
  if (denied_.contains(voter)) return true;
  const auto granted = granted_.find(voter);
  return granted != granted_.end() && granted->second == request_sent_at();
}

bool LeaseAcquisition::CountGrant(const Endpoint& voter, std::uint64_t request_number) {
  const auto request = sent_.find(request_number);
  if (request == sent_.end()) return false;
  Time& bound_since = granted_.try_emplace(voter, request->second).first->second;
  bound_since = std::max(bound_since, request->second);
  denied_.erase(voter);
  return true;
}

void LeaseAcquisition::RecordDenial(const Endpoint& voter, std::uint64_t request_number, Time may_grant_at) {
  if (is_request_open_ && request_number == this->request_number()) denied_[voter] = may_grant_at;
}

std::optional<Time> LeaseAcquisition::MajorityBoundSince(std::size_t majority) const {
  if (granted_.size() < majority) return std::nullopt;
  std::vector<Time> bound_since;
  for (const auto& [voter, moment] : granted_) bound_since.push_back(moment);
  std::sort(bound_since.begin(), bound_since.end(), std::greater<>());
  return bound_since[majority - 1];
}

Time LeaseAcquisition::MajorityMayGrantAt(Time now, std::size_t voters, std::size_t majority) const {
  const std::size_t undecided = voters - std::min(voters, denied_.size());
  if (undecided >= majority) return now;
  std::vector<Time> moments(undecided, now);
  for (const auto& [voter, may_grant_at] : denied_) moments.push_back(may_grant_at);
  std::sort(moments.begin(), moments.end());
  return std::max(now, moments[majority - 1]);
}

void LeaseAcquisition::AppendFingerprint(Time now, Span term, std::vector<std::uint64_t>* words) const {
  words->insert(words->end(), {token_, is_request_open_, FingerprintOf(now, request_deadline_),
                               is_request_open_ ? FingerprintOf(now, next_retransmit_) : 0});
  // A request and its grants count for one term after the request was first sent.
  for (const auto& [number, sent_at] : sent_)
    words->insert(words->end(), {number, FingerprintOf(now, sent_at + term)});
  for (const auto& [voter, bound_since] : granted_)
    words->insert(words->end(), {voter.port(), FingerprintOf(now, bound_since + term)});
  for (const auto& [voter, may_grant_at] : denied_)
    words->insert(words->end(), {voter.port(), FingerprintOf(now, may_grant_at)});
}

}  // namespace load_balancer::fleet
