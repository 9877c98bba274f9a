// SPDX-License-Identifier: Apache-2.0
//
// The part of Leases that sends lease requests to the voters and counts their answers.
#include <algorithm>
#include <utility>

#include "fleet/lease/leases.h"
#include "fleet/lease/timing.h"

namespace load_balancer::fleet {
namespace {

using std::chrono::milliseconds;
using Type = LeaseMessage::Type;

constexpr int kMaxBackoffDoublings = 2;

}  // namespace

std::size_t Leases::MajoritySize() const { return options_.voters.size() / 2 + 1; }

bool Leases::IsVoter(const Endpoint& address) const {
  return std::find(options_.voters.begin(), options_.voters.end(), address) != options_.voters.end();
}

LeaseMessage Leases::MakeRequest(const LeaseState& lease) const {
  LeaseMessage message = MakeMessage(Type::kRequest, lease.name, lease.acquisition.token());
  message.request_number = lease.acquisition.request_number();
  message.term_ms = static_cast<std::uint64_t>(terms_.term.count());
  message.drift_ms = static_cast<std::uint64_t>(terms_.drift.count());
  message.voter_set_hash = terms_.voter_set_hash;
  return message;
}

void Leases::SendRequest(Time now, LeaseState& lease, FencingToken token) {
  if (lease.acquisition.token() != token) lease.acquisition = LeaseAcquisition(token);
  // A released token is never requested again, even if the wall clock goes back: a late release of the token
  // would end the new vote.
  lease.largest_token = std::max(lease.largest_token, token);
  ++last_request_number_;
  lease.acquisition.BeginRequest(now, last_request_number_,
                                 {terms_.term, RequestTimeout(terms_.term), RetransmitInterval(terms_.term)});
  DeliverToVoters(now, MakeRequest(lease));
}

void Leases::RetransmitRequest(Time now, LeaseState& lease) {
  lease.acquisition.ScheduleRetransmit(now + RetransmitInterval(terms_.term));
  const LeaseMessage message = MakeRequest(lease);
  for (const Endpoint& voter : options_.voters) {
    const bool is_awaited = lease.acquisition.is_request_open() && !lease.acquisition.HasAnswered(voter);
    if (is_awaited) Deliver(now, voter, message);
  }
}

// Returns the lease that the answer is about; null if the answer is for another incarnation or an unknown
// lease.
LeaseState* Leases::FindRequested(const LeaseMessage& answer) {
  const auto found = leases_.find(answer.lease_name);
  return found == leases_.end() || answer.holder != options_.holder ? nullptr : &found->second;
}

void Leases::OnGrant(Time now, const Endpoint& from, const LeaseMessage& message) {
  LeaseState* lease = FindRequested(message);
  if (!lease || !IsVoter(from)) return;
  denial_reporter_.Forget(from);
  if (message.token != lease->acquisition.token()) return ReleaseLateGrant(now, from, message, *lease);
  if (lease->acquisition.CountGrant(from, message.request_number)) ExtendLease(now, *lease);
}

// Makes this member the holder, or extends its lease, if a majority of voters has granted.
void Leases::ExtendLease(Time now, LeaseState& lease) {
  const std::optional<Time> bound_since = lease.acquisition.MajorityBoundSince(MajoritySize());
  if (!bound_since) return;
  if (*bound_since == lease.acquisition.request_sent_at()) {
    lease.acquisition.EndRequest();
    lease.next_attempt = *bound_since + RenewalInterval(terms_.term);
  }
  const Time until = *bound_since + terms_.term - terms_.drift;
  const bool is_renewal = lease.status == LeaseStatus::kHolder;
  if (now >= until || (is_renewal && until <= lease.until)) return;
  lease.failed_attempts = 0;
  if (!is_renewal) lease.held_lease = std::make_shared<HeldLease>();
  lease.holder = options_.holder;
  lease.token = lease.acquisition.token();
  lease.largest_token = std::max(lease.largest_token, lease.token);
  SetStatus(now, lease, LeaseStatus::kHolder, until, is_renewal ? "renewed" : "granted");
}

void Leases::OnDenial(Time now, const Endpoint& from, const LeaseMessage& message) {
  LeaseState* lease = FindRequested(message);
  if (!lease || !lease->acquisition.is_request_open()) return;
  if (message.requested_token != lease->acquisition.token()) return;
  lease->largest_token = std::max(lease->largest_token, message.token);
  if (const auto failure = denial_reporter_.Report(from, message, terms_)) callbacks_.OnFailure(*failure);
  if (lease->status == LeaseStatus::kHolder) return;
  const Span retry_after = std::min<Span>(milliseconds(message.retry_after_ms), terms_.term + terms_.drift);
  lease->acquisition.RecordDenial(from, message.request_number, now + retry_after);
  const Time may_succeed_at =
      lease->acquisition.MajorityMayGrantAt(now, options_.voters.size(), MajoritySize());
  if (may_succeed_at <= now) return;
  lease->next_attempt = std::max(lease->next_attempt, may_succeed_at);
  FailAttempt(now, *lease);
}

// Handles a request that no majority granted in time. A holder requests again at once while its lease lasts.
void Leases::FailAttempt(Time now, LeaseState& lease) {
  if (lease.status == LeaseStatus::kHolder) {
    lease.acquisition.EndRequest();
    lease.next_attempt = now;
    return;
  }
  ReleaseLease(now, lease);
  // Exponential backoff with jitter, so that competing candidates do not collide again.
  lease.failed_attempts = std::min(lease.failed_attempts + 1, kMaxBackoffDoublings);
  const Span jitter = RandomSpan(RequestTimeout(terms_.term) * (1 << lease.failed_attempts));
  lease.next_attempt = std::max(lease.next_attempt, now + MinBackoff(terms_.term)) + jitter;
}

}  // namespace load_balancer::fleet
