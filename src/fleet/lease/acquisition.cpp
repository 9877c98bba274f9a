// SPDX-License-Identifier: Apache-2.0
#include "fleet/lease/acquisition.h"

#include <algorithm>
#include <functional>

#include "fleet/lease/fingerprint.h"

namespace load_balancer::fleet {

void Bid::Open(Time now, std::uint64_t number, Span term, Span lasts, Span every) {
  std::erase_if(sent_, [&](const auto& each) { return each.second + term <= now; });
  sent_[number] = now;
  denied_.clear();
  open_ = true;
  ends_ = now + lasts;
  next_repeat_ = now + every;
}

void Bid::Repeated(Time now, Span every) { next_repeat_ = now + every; }

bool Bid::Answered(const Endpoint& voter) const {
  const auto found = granted_.find(voter);
  return denied_.contains(voter) || (found != granted_.end() && found->second == sent());
}

bool Bid::Grant(const Endpoint& voter, std::uint64_t request) {
  const auto sent = sent_.find(request);
  if (sent == sent_.end()) return false;
  Time& counted = granted_.try_emplace(voter, sent->second).first->second;
  counted = std::max(counted, sent->second);
  denied_.erase(voter);
  return true;
}

void Bid::Deny(const Endpoint& voter, std::uint64_t request, Time from) {
  if (open_ && request == number()) denied_[voter] = from;
}

std::optional<Time> Bid::Since(std::size_t majority) const {
  if (granted_.size() < majority) return std::nullopt;
  std::vector<Time> moments;
  for (const auto& [voter, moment] : granted_) moments.push_back(moment);
  std::sort(moments.begin(), moments.end(), std::greater<>());
  return moments[majority - 1];
}

Time Bid::Opens(Time now, std::size_t voters, std::size_t majority) const {
  if (voters - std::min(voters, denied_.size()) >= majority) return now;
  std::vector<Time> moments(voters - std::min(voters, denied_.size()), now);
  for (const auto& [voter, from] : denied_) moments.push_back(from);
  std::sort(moments.begin(), moments.end());
  return std::max(now, moments[majority - 1]);
}

void Bid::Fingerprint(Time now, Span term, std::vector<std::uint64_t>* words) const {
  words->insert(words->end(), {token_, open_, WordOf(now, ends_), open_ ? WordOf(now, next_repeat_) : 0});
  // These count while the term from then on lasts.
  for (const auto& [request, sent] : sent_) words->insert(words->end(), {request, WordOf(now, sent + term)});
  for (const auto& [voter, moment] : granted_)
    words->insert(words->end(), {voter.port(), WordOf(now, moment + term)});
  for (const auto& [voter, from] : denied_) words->insert(words->end(), {voter.port(), WordOf(now, from)});
}

}  // namespace load_balancer::fleet
