// SPDX-License-Identifier: Apache-2.0
#include "fleet/lease/leases.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <utility>

#include "fleet/lease/failures.h"
#include "fleet/lease/fingerprint.h"

namespace brackenspoke::fleet {
namespace {

using std::chrono::milliseconds;
using Verb = LeaseMessage::Verb;
using Why = LeaseMessage::Why;

constexpr std::array<std::string_view, 4> kRoles{"alone", "holder", "follower", "waiting"};

LeaseTerms TermsOf(const LeaseOptions& options) {
  return {options.term, options.drift, VotersHash(options.voters)};
}

LeaseMessage Said(Verb verb, const std::string& duty, Token token, const std::string& holder) {
  LeaseMessage message;
  message.verb = verb;
  message.duty = duty;
  message.token = token;
  message.holder = holder;
  return message;
}

}  // namespace

std::string_view Name(Role role) { return kRoles.at(static_cast<std::size_t>(role)); }

std::uint64_t VotersHash(std::vector<LeaseOptions::Endpoint> voters) {
  std::sort(voters.begin(), voters.end());
  std::uint64_t hash = 0;
  for (const auto& voter : voters) {
    const auto bytes = voter.address().is_v4() ? boost::asio::ip::make_address_v6(boost::asio::ip::v4_mapped,
                                                                                  voter.address().to_v4())
                                               : voter.address().to_v6();
    const auto raw = bytes.to_bytes();
    hash = XXH64(raw.data(), raw.size(), hash + voter.port());
  }
  return hash;
}

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
  return LeaseGuard(name, duty.token, duty.until, duty.over);
}

Time Leases::Next() const {
  Time next = Time::max();
  for (const auto& [name, duty] : duties_) {
    if (Ends(duty)) next = std::min(next, duty.until);
    if (duty.asking) next = std::min(next, duty.answers_by);
    if (!duty.asking && !released_ && duty.role != Role::kFollower) next = std::min(next, duty.next_try);
  }
  return next;
}

void Leases::Tick(Time now, std::uint64_t wall) {
  for (auto& [name, duty] : duties_) {
    if (Ends(duty) && now >= duty.until) OnTimeUp(now, name, duty);
    if (duty.asking && now >= duty.answers_by) EndRequest(now, name, duty);
    if (duty.asking || released_ || duty.role == Role::kFollower || now < duty.next_try) continue;
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

void Leases::Ask(Time now, const std::string& name, Duty& duty, Token token) {
  duty.asking = true;
  duty.asked = token;
  // Never asked for again once it is given back, whatever the wall clock says: the release may come late.
  duty.largest = std::max(duty.largest, token);
  duty.answers_by = now + terms_.term / 6;
  std::erase_if(duty.sent, [&](const auto& each) { return each.second + terms_.term <= now; });
  duty.sent[++requests_] = now;
  LeaseMessage message = Said(Verb::kAsk, name, token, options_.holder);
  message.request = requests_;
  message.term_ms = static_cast<std::uint64_t>(terms_.term.count());
  message.drift_ms = static_cast<std::uint64_t>(terms_.drift.count());
  message.voters = terms_.voters;
  for (const Endpoint& voter : options_.voters) Deliver(now, voter, message);
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

// The newest moment of a request since which a majority of voters is bound; nothing if there is none.
std::optional<Time> Leases::Reached(const Duty& duty) const {
  const std::size_t majority = options_.voters.size() / 2 + 1;
  if (duty.granted.size() < majority) return std::nullopt;
  std::vector<Time> moments;
  for (const auto& [voter, moment] : duty.granted) moments.push_back(moment);
  std::sort(moments.rbegin(), moments.rend());
  return moments[majority - 1];
}

void Leases::OnGrant(Time now, const Endpoint& from, const LeaseMessage& message) {
  const auto found = duties_.find(message.duty);
  if (found == duties_.end() || message.holder != options_.holder) return;
  Duty& duty = found->second;
  if (std::find(options_.voters.begin(), options_.voters.end(), from) == options_.voters.end()) return;
  std::erase_if(complained_, [&](const auto& each) { return each.first == from; });
  const auto sent = duty.sent.find(message.request);
  if (message.token != duty.asked || sent == duty.sent.end()) return;
  Time& counted = duty.granted.try_emplace(from, sent->second).first->second;
  counted = std::max(counted, sent->second);
  const std::optional<Time> since = Reached(duty);
  if (!since) return;
  if (*since == duty.sent.rbegin()->second) {
    duty.asking = false;
    duty.next_try = *since + terms_.term / 3;
  }
  const Time until = *since + terms_.term - terms_.drift;
  const bool renewed = duty.role == Role::kHolder;
  if (now >= until || (renewed && until <= duty.until)) return;
  if (!renewed) duty.over = std::make_shared<bool>(false);
  duty.holder = options_.holder;
  duty.token = duty.asked;
  duty.largest = std::max(duty.largest, duty.token);
  Set(now, message.duty, duty, Role::kHolder, until, renewed ? "renewed" : "granted");
}

void Leases::OnDeny(Time now, const Endpoint& from, const LeaseMessage& message) {
  const auto found = duties_.find(message.duty);
  if (found == duties_.end() || message.holder != options_.holder) return;
  Duty& duty = found->second;
  if (!duty.asking || message.asked != duty.asked) return;
  duty.largest = std::max(duty.largest, message.token);
  Complain(from, message);
  // Whoever else holds it, or is about to: nothing is to be had sooner.
  if (duty.role == Role::kHolder) return;
  const Span wait = std::min<Span>(milliseconds(message.left_ms), terms_.term + terms_.drift);
  duty.next_try = std::max(duty.next_try, now + wait + Random(Span(0), terms_.term / 6));
}

void Leases::Complain(const Endpoint& voter, const LeaseMessage& denial) {
  const auto figures = [](std::uint64_t there, std::uint64_t here) {
    return std::to_string(there) + " there, " + std::to_string(here) + " here";
  };
  const FailureKind* kind = nullptr;
  std::string detail;
  switch (denial.why) {
    case Why::kTerm:
      kind = &kOtherTerm;
      detail = figures(denial.term_ms, static_cast<std::uint64_t>(terms_.term.count()));
      break;
    case Why::kDrift:
      kind = &kOtherDrift;
      detail = figures(denial.drift_ms, static_cast<std::uint64_t>(terms_.drift.count()));
      break;
    case Why::kVoters:
      kind = &kOtherVoters;
      detail = "hash " + figures(denial.voters, terms_.voters);
      break;
    case Why::kDisk:
    case Why::kFull:
      kind = &kVoteNotKept;
      detail = denial.why == Why::kDisk ? "disk" : "too many duties";
      break;
    default:
      return;
  }
  if (!complained_.emplace(voter, denial.why).second) return;
  outlet_.OnFailure(Failure(*kind, voter.address().to_string() + ":" + std::to_string(voter.port()), detail));
}

// From here on nothing that was granted for the token counts, and no guard of it holds: before any voter
// hears of it.
void Leases::GiveBack(Time now, const std::string& name, Duty& duty) {
  if (duty.over) *std::exchange(duty.over, nullptr) = true;
  duty.asking = false;
  duty.sent.clear();
  duty.granted.clear();
  if (duty.asked == 0) return;
  const LeaseMessage message = Said(Verb::kRelease, name, std::exchange(duty.asked, 0), options_.holder);
  for (const Endpoint& voter : options_.voters) Deliver(now, voter, message);
}

// Without a majority in time. A holder asks again while its term lasts.
void Leases::EndRequest(Time now, const std::string& name, Duty& duty) {
  if (duty.role == Role::kHolder) {
    duty.asking = false;
    duty.next_try = now;
    return;
  }
  GiveBack(now, name, duty);
  duty.next_try = std::max(duty.next_try, now + Random(terms_.term / 12, terms_.term / 3));
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
    words->insert(words->end(),
                  {WordOf(name), static_cast<std::uint64_t>(duty.role), WordOf(duty.holder), duty.token,
                   duty.largest, WordOf(now, duty.until), WordOf(now, duty.next_try), duty.asked, duty.asking,
                   WordOf(now, duty.answers_by)});
    // These count while the term from then on lasts.
    for (const auto& [request, sent] : duty.sent)
      words->insert(words->end(), {request, WordOf(now, sent + terms_.term)});
    for (const auto& [voter, moment] : duty.granted)
      words->insert(words->end(), {voter.port(), WordOf(now, moment + terms_.term)});
  }
}

}  // namespace brackenspoke::fleet
