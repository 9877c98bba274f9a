// SPDX-License-Identifier: Apache-2.0
//
// The part of Leases that asks voters, counts what they answer, and gives back.
#include <algorithm>
#include <utility>

#include "fleet/lease/leases.h"

namespace load_balancer::fleet {
namespace {

using std::chrono::milliseconds;
using Verb = LeaseMessage::Verb;

constexpr int kMostFailed = 2;
constexpr int kReleases = 4;  // times that a give-back is said, as it is not answered
constexpr int kRepeats = 24;  // of a request in a term, if it lasted for one

LeaseMessage Said(Verb verb, const std::string& duty, Token token, const std::string& holder) {
  LeaseMessage message;
  message.verb = verb;
  message.duty = duty;
  message.token = token;
  message.holder = holder;
  return message;
}

}  // namespace

LeaseMessage Leases::Request(const std::string& name, const Duty& duty) const {
  LeaseMessage message = Said(Verb::kAsk, name, duty.bid.token(), options_.holder);
  message.request = duty.bid.number();
  message.term_ms = static_cast<std::uint64_t>(terms_.term.count());
  message.drift_ms = static_cast<std::uint64_t>(terms_.drift.count());
  message.voters = terms_.voters;
  return message;
}

void Leases::Ask(Time now, const std::string& name, Duty& duty, Token token) {
  if (duty.bid.token() != token) duty.bid = Bid(token);
  // Never asked for again once it is given back, whatever the wall clock says: the release may come late.
  duty.largest = std::max(duty.largest, token);
  duty.bid.Open(now, ++requests_, terms_.term, terms_.term / 6, terms_.term / kRepeats);
  const LeaseMessage message = Request(name, duty);
  for (const Endpoint& voter : options_.voters) Deliver(now, voter, message);
}

void Leases::Repeat(Time now, const std::string& name, Duty& duty) {
  duty.bid.Repeated(now, terms_.term / kRepeats);
  const LeaseMessage message = Request(name, duty);
  for (const Endpoint& voter : options_.voters)
    if (duty.bid.open() && !duty.bid.Answered(voter)) Deliver(now, voter, message);
}

void Leases::OnGrant(Time now, const Endpoint& from, const LeaseMessage& message) {
  const auto found = duties_.find(message.duty);
  if (found == duties_.end() || message.holder != options_.holder) return;
  Duty& duty = found->second;
  if (std::find(options_.voters.begin(), options_.voters.end(), from) == options_.voters.end()) return;
  complaints_.Forget(from);
  // One that was given up, and the voter has not heard of that.
  if (message.token != duty.bid.token() && message.token != 0 && now >= duty.effects_until)
    Deliver(now, from, Said(Verb::kRelease, message.duty, message.token, options_.holder));
  if (message.token != duty.bid.token() || !duty.bid.Grant(from, message.request)) return;
  const std::optional<Time> since = duty.bid.Since(Majority());
  if (!since) return;
  if (*since == duty.bid.sent()) {
    duty.bid.Close();
    duty.next_try = *since + terms_.term / 3;
  }
  const Time until = *since + terms_.term - terms_.drift;
  const bool renewed = duty.role == Role::kHolder;
  if (now >= until || (renewed && until <= duty.until)) return;
  duty.failed = 0;
  if (!renewed) duty.lease = std::make_shared<HeldLease>();
  duty.holder = options_.holder;
  duty.token = duty.bid.token();
  duty.largest = std::max(duty.largest, duty.token);
  Set(now, message.duty, duty, Role::kHolder, until, renewed ? "renewed" : "granted");
}

void Leases::OnDeny(Time now, const Endpoint& from, const LeaseMessage& message) {
  const auto found = duties_.find(message.duty);
  if (found == duties_.end() || message.holder != options_.holder) return;
  Duty& duty = found->second;
  if (!duty.bid.open() || message.asked != duty.bid.token()) return;
  duty.largest = std::max(duty.largest, message.token);
  if (const auto failure = complaints_.Of(from, message, terms_)) outlet_.OnFailure(*failure);
  // Whoever else holds it, or is about to: nothing is to be had sooner.
  if (duty.role == Role::kHolder) return;
  const Span wait = std::min<Span>(milliseconds(message.left_ms), terms_.term + terms_.drift);
  duty.bid.Deny(from, message.request, now + wait);
  const Time opens = duty.bid.Opens(now, options_.voters.size(), Majority());
  if (opens <= now) return;
  duty.next_try = std::max(duty.next_try, opens);
  EndRequest(now, message.duty, duty);
}

// From here on nothing that was granted for the token counts, and no guard of it holds: before any voter
// hears of it.
void Leases::GiveBack(Time now, const std::string& name, Duty& duty) {
  if (duty.lease) {
    duty.lease->over = true;
    duty.effects_until = std::max(duty.effects_until, duty.lease->effects_until);
    duty.lease.reset();
  }
  const Token token = std::exchange(duty.bid, Bid()).token();
  if (token == 0 || now < duty.effects_until) return;
  duty.given_back = token;
  duty.releases = kReleases;
  SayReleased(now, name, duty);
}

void Leases::SayReleased(Time now, const std::string& name, Duty& duty) {
  --duty.releases;
  duty.next_release = now + terms_.term / kRepeats;
  const LeaseMessage message = Said(Verb::kRelease, name, duty.given_back, options_.holder);
  for (const Endpoint& voter : options_.voters) Deliver(now, voter, message);
}

// Without a majority in time. A holder asks again while its term lasts.
void Leases::EndRequest(Time now, const std::string& name, Duty& duty) {
  if (duty.role == Role::kHolder) {
    duty.bid.Close();
    duty.next_try = now;
    return;
  }
  GiveBack(now, name, duty);
  // The more have asked in vain, the farther apart they ask again.
  duty.failed = std::min(duty.failed + 1, kMostFailed);
  duty.next_try =
      std::max(duty.next_try, now + terms_.term / 12) + Random(Span(0), terms_.term / 6 * (1 << duty.failed));
}

}  // namespace load_balancer::fleet
