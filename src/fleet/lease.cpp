// SPDX-License-Identifier: Apache-2.0
#include "lease.h"

#include <algorithm>
#include <array>

namespace brackenspoke::fleet {
namespace {

using Verb = LeaseMessage::Verb;

constexpr std::array<std::string_view, 4> kRoles{"alone", "holder", "follower", "waiting"};

}  // namespace

std::string_view Name(Role role) { return kRoles.at(static_cast<std::size_t>(role)); }

Leases::Leases(LeaseOptions options, Time now, Outlet& outlet)
    : options_(std::move(options)),
      outlet_(outlet),
      random_(options_.seed),
      votes_from_(now + options_.term + options_.drift) {
  for (const std::string& name : options_.duties) {
    Duty& duty = duties_[name];
    duty.next_try = votes_from_ + Random(Span(0), options_.term / 3);
    votes_[name];
  }
}

void Leases::Outgrow(const std::string& name, Token token) {
  const auto duty = duties_.find(name);
  if (duty == duties_.end()) return;
  duty->second.largest = std::max(duty->second.largest, token);
  votes_.at(name).largest = std::max(votes_.at(name).largest, token);
}

Span Leases::Random(Span from, Span to) {
  return from + Span(std::uniform_int_distribution<Span::rep>(0, (to - from).count())(random_));
}

Role Leases::role(Time now, const std::string& name) const {
  const Duty& duty = duties_.at(name);
  const bool over = now >= duty.until && (duty.role == Role::kHolder || duty.role == Role::kFollower);
  return over ? Role::kWaiting : duty.role;
}

Span Leases::left(Time now, const std::string& name) const {
  return std::max(Span(0), duties_.at(name).until - now);
}

Time Leases::Next() const {
  Time next = Time::max();
  for (const auto& [name, duty] : duties_) {
    if (duty.role != Role::kAlone) next = std::min(next, duty.until);
    if (duty.asking) next = std::min(next, duty.answers_by);
    if (!duty.asking && !released_ && duty.role != Role::kFollower) next = std::min(next, duty.next_try);
  }
  return next;
}

void Leases::Tick(Time now, std::uint64_t wall) {
  for (auto& [name, duty] : duties_) {
    if (now >= duty.until) {
      if (duty.role == Role::kHolder || duty.role == Role::kFollower) {
        // Its own lease first: a request of before it stood still counts no more.
        if (duty.asking) GiveBack(name, duty);
        duty.next_try = now + Random(Span(0), options_.term / 6);
        Set(now, name, duty, Role::kWaiting, now + 2 * options_.term, "expired");
      } else if (duty.role == Role::kWaiting) {
        Set(now, name, duty, Role::kAlone, now, "no quorum");
      }
    }
    if (duty.asking && now >= duty.answers_by) EndRequest(now, name, duty);
    if (duty.asking || released_ || duty.role == Role::kFollower || now < duty.next_try) continue;
    const Token fresh = std::max<Token>(duty.largest + 1, wall);
    Ask(now, name, duty, duty.role == Role::kHolder ? duty.token : fresh);
  }
}

void Leases::Ask(Time now, const std::string& name, Duty& duty, Token token) {
  duty.asking = true;
  duty.asked = token;
  duty.asked_at = now;
  duty.answers_by = now + options_.term / 6;
  duty.granted.clear();
  const LeaseMessage message{Verb::kAsk, name, token, options_.holder, 0};
  for (const Udp::endpoint& voter : options_.voters) Deliver(now, voter, message);
}

// This member's own vote needs no datagram.
void Leases::Deliver(Time now, const Udp::endpoint& to, const LeaseMessage& message) {
  if (to == options_.address)
    Receive(now, options_.address, message);
  else
    outlet_.Send(to, message);
}

void Leases::Receive(Time now, const Udp::endpoint& from, const LeaseMessage& message) {
  if (!duties_.contains(message.duty)) return;
  switch (message.verb) {
    case Verb::kAsk:
      return OnAsk(now, from, message);
    case Verb::kGrant:
      return OnGrant(now, from, message);
    case Verb::kDeny:
      return OnDeny(now, message);
    case Verb::kRelease: {
      Vote& vote = votes_.at(message.duty);
      if (vote.holder == message.holder && vote.token == message.token) vote.until = now;
      return;
    }
  }
}

void Leases::OnAsk(Time now, const Udp::endpoint& from, const LeaseMessage& message) {
  Vote& vote = votes_.at(message.duty);
  LeaseMessage answer{Verb::kDeny, message.duty, message.token, message.holder, 0};
  const bool same = vote.holder == message.holder && vote.token == message.token;
  const bool open = now >= vote.until && message.token > vote.largest;
  if (now >= votes_from_ && (open || (same && now < vote.until))) {
    vote = {message.holder, message.token, std::max(vote.largest, message.token),
            now + options_.term + options_.drift};
    answer.verb = Verb::kGrant;
  } else {
    // Why, for the next request: the largest token, and how long the lease or the silence lasts.
    answer.token = vote.largest;
    const Span wait = std::max(Span(0), std::max(vote.until, votes_from_) - now);
    answer.left_ms = static_cast<std::uint64_t>(std::chrono::ceil<std::chrono::milliseconds>(wait).count());
    answer.asked = message.token;
  }
  Deliver(now, from, answer);
}

void Leases::OnGrant(Time now, const Udp::endpoint& from, const LeaseMessage& message) {
  Duty& duty = duties_.at(message.duty);
  if (message.holder != options_.holder) return;
  const bool a_voter =
      std::find(options_.voters.begin(), options_.voters.end(), from) != options_.voters.end();
  if (!a_voter || !duty.asking || message.token != duty.asked) return;
  duty.granted.insert(from);
  if (duty.granted.size() < Majority()) return;
  duty.asking = false;
  const bool renewed = duty.role == Role::kHolder;
  duty.holder = options_.holder;
  duty.token = duty.asked;
  duty.largest = std::max(duty.largest, duty.token);
  duty.next_try = duty.asked_at + options_.term / 3;
  const Time until = duty.asked_at + options_.term - options_.drift;
  if (now < until) Set(now, message.duty, duty, Role::kHolder, until, renewed ? "renewed" : "granted");
}

void Leases::OnDeny(Time now, const LeaseMessage& message) {
  Duty& duty = duties_.at(message.duty);
  if (message.holder != options_.holder || !duty.asking || message.asked != duty.asked) return;
  duty.largest = std::max(duty.largest, message.token);
  // Whoever else holds it, or is about to: nothing is to be had sooner.
  if (duty.role == Role::kHolder) return;
  const Span wait =
      std::min<Span>(std::chrono::milliseconds(message.left_ms), options_.term + options_.drift);
  duty.next_try = std::max(duty.next_try, now + wait + Random(Span(0), options_.term / 6));
}

void Leases::GiveBack(const std::string& name, Duty& duty) {
  duty.asking = false;
  const LeaseMessage message{Verb::kRelease, name, duty.asked, options_.holder, 0};
  for (const Udp::endpoint& voter : options_.voters) Deliver(Time(), voter, message);
}

// Without a majority in time. A holder asks again while its term lasts.
void Leases::EndRequest(Time now, const std::string& name, Duty& duty) {
  if (duty.role == Role::kHolder) {
    duty.asking = false;
    duty.next_try = now;
    return;
  }
  GiveBack(name, duty);
  duty.next_try = std::max(duty.next_try, now + Random(options_.term / 12, options_.term / 3));
}

void Leases::Set(Time now, const std::string& name, Duty& duty, Role role, Time until, std::string_view why) {
  duty.role = role;
  duty.until = until;
  outlet_.OnRole(name, role, duty.token, until - now, why);
}

void Leases::Hear(Time now, const std::string& name, const std::string& holder, Token token, Span left) {
  const auto found = duties_.find(name);
  if (found == duties_.end() || holder == options_.holder || left <= Span(0)) return;
  Duty& duty = found->second;
  // Larger tokens may have been asked for in vain: only those of leases that were had count here.
  if (token < duty.token || (role(now, name) == Role::kHolder && token == duty.token)) return;
  if (duty.asking) GiveBack(name, duty);
  const bool changed = duty.role != Role::kFollower || duty.token != token;
  duty.token = token;
  duty.largest = std::max(duty.largest, token);
  duty.holder = holder;
  duty.role = Role::kFollower;
  duty.until = now + left + 2 * options_.drift;
  if (changed) outlet_.OnRole(name, Role::kFollower, token, left, holder);
}

void Leases::Release(Time now) {
  released_ = true;
  for (auto& [name, duty] : duties_) {
    if (duty.asking) GiveBack(name, duty);
    if (duty.role != Role::kHolder) continue;
    duty.asked = duty.token;
    GiveBack(name, duty);
    Set(now, name, duty, Role::kWaiting, now + 2 * options_.term, "released");
  }
}

void Leases::Resume(Time now) {
  released_ = false;
  for (auto& [name, duty] : duties_) duty.next_try = now + Random(Span(0), options_.term / 3);
}

}  // namespace brackenspoke::fleet
