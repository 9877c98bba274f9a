// SPDX-License-Identifier: Apache-2.0
#include "fleet/lease/voter.h"

#include <algorithm>

#include "fleet/lease/fingerprint.h"
#include "fleet/lease/timing.h"

namespace load_balancer::fleet {
namespace {

using std::chrono::milliseconds;
using DenialReason = LeaseMessage::DenialReason;
using Type = LeaseMessage::Type;

std::uint64_t MillisecondCount(milliseconds span) { return static_cast<std::uint64_t>(span.count()); }

bool IsVoteFor(const StoredVote& vote, const LeaseMessage& message) {
  return vote.holder == message.holder && vote.token == message.token;
}

LeaseMessage MakeAnswer(Type type, const LeaseMessage& request) {
  LeaseMessage answer;
  answer.type = type;
  answer.lease_name = request.lease_name;
  answer.holder = request.holder;
  answer.requested_token = request.token;
  answer.request_number = request.request_number;
  return answer;
}

}  // namespace

Voter::Voter(const LeaseTerms& terms, Time now, const std::optional<StoredVotes>& stored, VoteStore* store)
    : terms_(terms), store_(store), grace_period_end_(stored ? now : now + VoteDuration()) {
  if (!stored) return;
  // The monotonic clock does not survive a restart, so each vote may have been granted just before the
  // restart.
  for (const auto& [lease_name, vote] : *stored)
    votes_[lease_name] = {vote, now + std::max<Span>(milliseconds(vote.duration_ms), VoteDuration())};
}

void Voter::RaiseLargestToken(const std::string& lease_name, FencingToken token) {
  if (votes_.size() >= kMaxVotes && !votes_.contains(lease_name)) return;
  FencingToken& largest = votes_[lease_name].stored.largest_token;
  largest = std::max(largest, token);
}

DenialReason Voter::CheckRequest(Time now, const LeaseMessage& request) const {
  if (request.term_ms != MillisecondCount(terms_.term)) return DenialReason::kTermMismatch;
  if (request.drift_ms != MillisecondCount(terms_.drift)) return DenialReason::kDriftMismatch;
  if (request.voter_set_hash != terms_.voter_set_hash) return DenialReason::kVoterSetMismatch;
  if (now < grace_period_end_) return DenialReason::kGracePeriod;
  const auto found = votes_.find(request.lease_name);
  if (found == votes_.end())
    return votes_.size() < kMaxVotes ? DenialReason::kNone : DenialReason::kTooManyLeases;
  const Vote& vote = found->second;
  const bool is_larger = request.token > vote.stored.largest_token;
  if (now >= vote.until) return is_larger ? DenialReason::kNone : DenialReason::kLeaseHeld;
  // A holder requests a larger token only after it has released the previous one.
  const bool is_reacquired = vote.stored.holder == request.holder && is_larger;
  const bool may_grant = IsVoteFor(vote.stored, request) || is_reacquired;
  return may_grant ? DenialReason::kNone : DenialReason::kLeaseHeld;
}

bool Voter::PersistVote(const std::string& lease_name, const StoredVote& vote) {
  if (!store_) return true;
  StoredVotes all;
  for (const auto& [name, each] : votes_) all[name] = each.stored;
  all[lease_name] = vote;
  return store_->Save(all);
}

LeaseMessage Voter::Answer(Time now, const LeaseMessage& request) {
  const DenialReason reason = CheckRequest(now, request);
  if (reason != DenialReason::kNone) return MakeDenial(now, request, reason);
  if (!GrantVote(now, request)) return MakeDenial(now, request, DenialReason::kNotPersisted);
  LeaseMessage grant = MakeAnswer(Type::kGrant, request);
  grant.token = request.token;
  return grant;
}

// Extends an existing vote for the same request, or stores a new vote. Returns false if storing failed.
bool Voter::GrantVote(Time now, const LeaseMessage& request) {
  const auto found = votes_.find(request.lease_name);
  const FencingToken largest = found == votes_.end() ? 0 : found->second.stored.largest_token;
  const StoredVote vote{request.holder, request.token, std::max(largest, request.token),
                        MillisecondCount(terms_.term + terms_.drift)};
  const bool is_renewal = found != votes_.end() && found->second.stored == vote;
  if (!is_renewal && !PersistVote(request.lease_name, vote)) return false;
  const Time decision_deadline =
      is_renewal ? found->second.decision_deadline : now + RequestTimeout(terms_.term);
  votes_[request.lease_name] = {vote, now + VoteDuration(), decision_deadline};
  return true;
}

LeaseMessage Voter::MakeDenial(Time now, const LeaseMessage& request, DenialReason reason) const {
  LeaseMessage denial = MakeAnswer(Type::kDenial, request);
  denial.denial_reason = reason;
  const auto found = votes_.find(request.lease_name);
  const Vote vote = found == votes_.end() ? Vote{} : found->second;
  denial.token = vote.stored.largest_token;
  if (grace_period_end_ < Time::max())
    denial.retry_after_ms = MillisecondCount(std::chrono::ceil<milliseconds>(RetryAfter(now, vote)));
  denial.term_ms = MillisecondCount(terms_.term);
  denial.drift_ms = MillisecondCount(terms_.drift);
  denial.voter_set_hash = terms_.voter_set_hash;
  return denial;
}

// Returns the time until the voter may grant. A new vote without a majority by `decision_deadline` is
// expected to be released then.
Span Voter::RetryAfter(Time now, const Vote& vote) const {
  const Time until = now < vote.decision_deadline ? std::min(vote.until, vote.decision_deadline) : vote.until;
  return std::max(Span(0), std::max(until, grace_period_end_) - now);
}

void Voter::OnRelease(Time now, const LeaseMessage& release) {
  const auto found = votes_.find(release.lease_name);
  if (found == votes_.end() || !IsVoteFor(found->second.stored, release)) return;
  found->second.until = std::min(found->second.until, now);
}

void Voter::AppendFingerprint(Time now, std::vector<std::uint64_t>* words) const {
  words->push_back(FingerprintOf(now, grace_period_end_));
  for (const auto& [lease_name, vote] : votes_)
    words->insert(words->end(), {FingerprintOf(lease_name), FingerprintOf(vote.stored.holder),
                                 vote.stored.token, vote.stored.largest_token, vote.stored.duration_ms,
                                 FingerprintOf(now, vote.until), FingerprintOf(now, vote.decision_deadline)});
}

}  // namespace load_balancer::fleet
