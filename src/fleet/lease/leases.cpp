// SPDX-License-Identifier: Apache-2.0
#include "fleet/lease/leases.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "fleet/lease/timing.h"
#include "fleet/lease/voter_set.h"

namespace load_balancer::fleet {
namespace {

using Type = LeaseMessage::Type;

LeaseTerms TermsOf(const LeaseOptions& options) {
  return {options.term, options.drift, HashVoterSet(options.voters)};
}

}  // namespace

Leases::Leases(LeaseOptions options, Time now, Callbacks& callbacks)
    : options_(std::move(options)),
      terms_(TermsOf(options_)),
      callbacks_(callbacks),
      voter_(terms_, now, options_.stored_votes, options_.vote_store),
      // Request numbers must differ from those of earlier incarnations, whose answers may be in flight.
      last_request_number_(static_cast<std::uint64_t>(now.time_since_epoch().count())) {
  if (!options_.may_vote) voter_.StopGranting();
  for (const LeasedRole& role : options_.leased_roles) AddLeasedRole(now, role);
}

void Leases::AddLeasedRole(Time now, const LeasedRole& role) {
  const auto [found, is_new] = leases_.try_emplace(role.name);
  if (!is_new) return;
  LeaseState& lease = found->second;
  lease.name = role.name;
  lease.kind = role.kind;
  const bool is_available = role.kind == LeasedRoleKind::kAvailable;
  lease.status = is_available ? LeaseStatus::kStandalone : LeaseStatus::kWaiting;
  // If this member has no stored votes, the other voters are probably in their grace period as well.
  const Time earliest = options_.stored_votes ? now : now + terms_.term + terms_.drift;
  lease.next_attempt = earliest + RandomSpan(RenewalInterval(terms_.term));
}

void Leases::RaiseLargestToken(const std::string& lease_name, FencingToken token) {
  const auto lease = leases_.find(lease_name);
  if (lease == leases_.end()) return;
  lease->second.largest_token = std::max(lease->second.largest_token, token);
  voter_.RaiseLargestToken(lease_name, token);
}

// Returns a random span between zero and `longest`, uniformly distributed.
Span Leases::RandomSpan(Span longest) {
  ++random_draws_;
  const std::uint64_t draw = XXH64(&random_draws_, sizeof random_draws_, options_.seed);
  return Span(static_cast<Span::rep>(draw % static_cast<std::uint64_t>(longest.count() + 1)));
}

Span Leases::remaining(Time now, const std::string& lease_name) const {
  return std::max(Span(0), leases_.at(lease_name).until - now);
}

std::optional<LeaseProof> Leases::ProveLease(Time now, const std::string& lease_name) const {
  const LeaseState& lease = leases_.at(lease_name);
  if (lease.StatusAt(now) != LeaseStatus::kHolder) return std::nullopt;
  return LeaseProof(lease_name, lease.token, lease.until, lease.held_lease);
}

Time Leases::Next() const {
  Time next = Time::max();
  for (const auto& [name, lease] : leases_) next = std::min(next, lease.NextDeadline(is_released_));
  return next;
}

void Leases::Tick(Time now, std::uint64_t unix_ms) {
  for (auto& [name, lease] : leases_) TickLease(now, lease, unix_ms);
}

void Leases::TickLease(Time now, LeaseState& lease, std::uint64_t unix_ms) {
  if (lease.HasExpiry() && now >= lease.until) OnExpiry(now, lease);
  const PendingRelease& release = lease.pending_release;
  if (release.remaining_transmissions > 0 && now >= release.next_transmission) TransmitRelease(now, lease);
  const LeaseAcquisition& acquisition = lease.acquisition;
  if (acquisition.is_request_open() && now >= acquisition.request_deadline()) FailAttempt(now, lease);
  if (acquisition.is_request_open() && now >= acquisition.next_retransmit()) RetransmitRequest(now, lease);
  if (!lease.MayRequest(is_released_) || now < lease.NextAttemptAt()) return;
  if (lease.status == LeaseStatus::kHolder) return SendRequest(now, lease, lease.token);
  ReleaseLease(now, lease);
  SendRequest(now, lease, std::max<FencingToken>(lease.largest_token + 1, unix_ms));
}

void Leases::OnExpiry(Time now, LeaseState& lease) {
  if (lease.status == LeaseStatus::kWaiting)
    return SetStatus(now, lease, LeaseStatus::kStandalone, now, "no quorum");
  ReleaseLease(now, lease);
  lease.next_attempt = now + RandomSpan(RequestTimeout(terms_.term));
  SetStatus(now, lease, LeaseStatus::kWaiting, now + HolderLossTimeout(terms_.term), "expired");
}

// Handles a message to this member directly instead of sending a datagram.
void Leases::Deliver(Time now, const Endpoint& to, const LeaseMessage& message) {
  if (to == options_.address)
    Receive(now, options_.address, message);
  else
    callbacks_.Send(to, message);
}

void Leases::DeliverToVoters(Time now, const LeaseMessage& message) {
  for (const Endpoint& voter : options_.voters) Deliver(now, voter, message);
}

void Leases::Receive(Time now, const Endpoint& from, const LeaseMessage& message) {
  switch (message.type) {
    case Type::kRequest:
      return Deliver(now, from, voter_.Answer(now, message));
    case Type::kRelease:
      return voter_.OnRelease(now, message);
    case Type::kGrant:
      return OnGrant(now, from, message);
    case Type::kDenial:
      return OnDenial(now, from, message);
  }
}

LeaseMessage Leases::MakeMessage(Type type, const std::string& lease_name, FencingToken token) const {
  LeaseMessage message;
  message.type = type;
  message.lease_name = lease_name;
  message.token = token;
  message.holder = options_.holder;
  return message;
}

void Leases::SetStatus(Time now, LeaseState& lease, LeaseStatus status, Time until, std::string_view reason) {
  lease.status = status;
  lease.until = until;
  callbacks_.OnLeaseStatus(lease.name, status, lease.token, until - now, reason);
}

void Leases::ObserveHolder(Time now, const std::string& lease_name, const std::string& holder,
                           FencingToken token, Span remaining) {
  const auto found = leases_.find(lease_name);
  if (found == leases_.end() || holder == options_.holder || remaining <= Span(0)) return;
  LeaseState& lease = found->second;
  // Compares with the token of the last known lease, not with `largest_token`, since requests with larger
  // tokens may have failed.
  if (token < lease.token) return;
  if (token == lease.token && lease.StatusAt(now) == LeaseStatus::kHolder) return;
  ReleaseLease(now, lease);
  const bool is_new = lease.status != LeaseStatus::kFollower || lease.token != token;
  lease.token = token;
  lease.largest_token = std::max(lease.largest_token, token);
  lease.holder = holder;
  lease.status = LeaseStatus::kFollower;
  lease.failed_attempts = 0;
  lease.until = now + remaining + 2 * terms_.drift;
  if (is_new) callbacks_.OnLeaseStatus(lease_name, LeaseStatus::kFollower, token, remaining, holder);
}

void Leases::AppendFingerprint(Time now, std::vector<std::uint64_t>* words) const {
  voter_.AppendFingerprint(now, words);
  words->insert(words->end(), {last_request_number_, random_draws_, is_released_});
  for (const auto& [name, lease] : leases_) lease.AppendFingerprint(now, terms_.term, words);
}

}  // namespace load_balancer::fleet
