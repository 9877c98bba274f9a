// SPDX-License-Identifier: Apache-2.0
#include "fleet/lease/leases.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <utility>

#include "fleet/lease/fingerprint.h"

namespace load_balancer::fleet {
namespace {

using Verb = LeaseMessage::Verb;

constexpr std::array<std::string_view, 4> kRoles{"alone", "holder", "follower", "waiting"};

LeaseTerms TermsOf(const LeaseOptions& options) {
  return {options.term, options.drift, VotersHash(options.voters)};
}

}  // namespace

std::string_view Name(Role role) { return kRoles.at(static_cast<std::size_t>(role)); }

Leases::Leases(LeaseOptions options, Time now, Outlet& outlet)
    : options_(std::move(options)),
      terms_(TermsOf(options_)),
      outlet_(outlet),
      voter_(terms_, now, options_.votes, options_.store),
      // Not the numbers of a life before on the same machine, whose answers may still be under way.
      requests_(static_cast<std::uint64_t>(now.time_since_epoch().count())) {
  if (!options_.may_vote) voter_.FallSilent();
  for (const DutySpec& duty : options_.duties) Add(now, duty);
}

void Leases::Add(Time now, const DutySpec& spec) {
  const auto [found, fresh] = duties_.try_emplace(spec.name);
  if (!fresh) return;
  Duty& duty = found->second;
  duty.kind = spec.kind;
  duty.role = spec.kind == DutyKind::kAvailable ? Role::kAlone : Role::kWaiting;
  // Those who start with it may have granted as well.
  const Time from = options_.votes ? now : now + terms_.term + terms_.drift;
  duty.next_try = from + Random(Span(0), terms_.term / 3);
}

void Leases::Outgrow(const std::string& name, Token token) {
  const auto duty = duties_.find(name);
  if (duty == duties_.end()) return;
  duty->second.largest = std::max(duty->second.largest, token);
  voter_.Outgrow(name, token);
}

std::size_t Leases::Majority() const { return options_.voters.size() / 2 + 1; }

Span Leases::Random(Span from, Span to) {
  const std::uint64_t draw = XXH64(&++draws_, sizeof draws_, options_.seed);
  return from + Span(static_cast<Span::rep>(draw % static_cast<std::uint64_t>((to - from).count() + 1)));
}

// Whether its role passes when its time is up. Nobody is alone in an exclusive duty.
bool Leases::Ends(const Duty& duty) {
  if (duty.role == Role::kWaiting) return duty.kind == DutyKind::kAvailable;
  return duty.role != Role::kAlone;
}

Role Leases::role(Time now, const std::string& name) const {
  const Duty& duty = duties_.at(name);
  const bool over = now >= duty.until && (duty.role == Role::kHolder || duty.role == Role::kFollower);
  return over ? Role::kWaiting : duty.role;
}

Span Leases::left(Time now, const std::string& name) const {
  return std::max(Span(0), duties_.at(name).until - now);
}

std::optional<LeaseGuard> Leases::Guard(Time now, const std::string& name) const {
  if (role(now, name) != Role::kHolder) return std::nullopt;
  const Duty& duty = duties_.at(name);
  return LeaseGuard(name, duty.token, duty.until, duty.lease);
}

Time Leases::Next() const {
  Time next = Time::max();
  for (const auto& [name, duty] : duties_) {
    if (Ends(duty)) next = std::min(next, duty.until);
    if (duty.releases > 0) next = std::min(next, duty.next_release);
    if (duty.bid.open())
      next = std::min({next, duty.bid.ends(), duty.bid.next_repeat()});
    else if (!released_ && duty.role != Role::kFollower)
      next = std::min(next, std::max(duty.next_try, duty.effects_until));
  }
  return next;
}

void Leases::Tick(Time now, std::uint64_t wall) {
  for (auto& [name, duty] : duties_) {
    if (Ends(duty) && now >= duty.until) OnTimeUp(now, name, duty);
    if (duty.releases > 0 && now >= duty.next_release) SayReleased(now, name, duty);
    if (duty.bid.open() && now >= duty.bid.ends()) EndRequest(now, name, duty);
    if (duty.bid.open() && now >= duty.bid.next_repeat()) Repeat(now, name, duty);
    if (duty.bid.open() || released_ || duty.role == Role::kFollower) continue;
    if (now < std::max(duty.next_try, duty.effects_until)) continue;
    if (duty.role != Role::kHolder) GiveBack(now, name, duty);
    const Token fresh = std::max<Token>(duty.largest + 1, wall);
    Ask(now, name, duty, duty.role == Role::kHolder ? duty.token : fresh);
  }
}

void Leases::OnTimeUp(Time now, const std::string& name, Duty& duty) {
  if (duty.role == Role::kWaiting) return Set(now, name, duty, Role::kAlone, now, "no quorum");
  GiveBack(now, name, duty);
  duty.next_try = now + Random(Span(0), terms_.term / 6);
  Set(now, name, duty, Role::kWaiting, now + 2 * terms_.term, "expired");
}

// This member's own vote needs no datagram.
void Leases::Deliver(Time now, const Endpoint& to, const LeaseMessage& message) {
  if (to == options_.address)
    Receive(now, options_.address, message);
  else
    outlet_.Send(to, message);
}

void Leases::Receive(Time now, const Endpoint& from, const LeaseMessage& message) {
  switch (message.verb) {
    case Verb::kAsk:
      return Deliver(now, from, voter_.Answer(now, message));
    case Verb::kRelease:
      return voter_.OnRelease(now, message);
    case Verb::kGrant:
      return OnGrant(now, from, message);
    case Verb::kDeny:
      return OnDeny(now, from, message);
  }
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
  GiveBack(now, name, duty);
  const bool changed = duty.role != Role::kFollower || duty.token != token;
  duty.token = token;
  duty.largest = std::max(duty.largest, token);
  duty.holder = holder;
  duty.role = Role::kFollower;
  duty.failed = 0;
  duty.until = now + left + 2 * terms_.drift;
  if (changed) outlet_.OnRole(name, Role::kFollower, token, left, holder);
}

void Leases::Release(Time now) {
  released_ = true;
  for (auto& [name, duty] : duties_) {
    const bool held = duty.role == Role::kHolder;
    GiveBack(now, name, duty);
    if (held) Set(now, name, duty, Role::kWaiting, now + 2 * terms_.term, "released");
  }
}

void Leases::Resume(Time now) {
  released_ = false;
  for (auto& [name, duty] : duties_) duty.next_try = now + Random(Span(0), terms_.term / 3);
}

void Leases::Fingerprint(Time now, std::vector<std::uint64_t>* words) const {
  voter_.Fingerprint(now, words);
  words->insert(words->end(), {requests_, draws_, released_});
  for (const auto& [name, duty] : duties_) {
    words->insert(
        words->end(),
        {WordOf(name), static_cast<std::uint64_t>(duty.role), WordOf(duty.holder), duty.token, duty.largest,
         WordOf(now, duty.until), WordOf(now, duty.next_try), WordOf(now, duty.effects_until),
         static_cast<std::uint64_t>(duty.failed), static_cast<std::uint64_t>(duty.releases),
         duty.releases > 0 ? WordOf(now, duty.next_release) : 0, duty.releases > 0 ? duty.given_back : 0});
    duty.bid.Fingerprint(now, terms_.term, words);
  }
}

}  // namespace load_balancer::fleet
