// SPDX-License-Identifier: Apache-2.0
#include "fleet/lease/voter.h"

#include <algorithm>

#include "fleet/lease/fingerprint.h"

namespace load_balancer::fleet {
namespace {

using std::chrono::milliseconds;
using Verb = LeaseMessage::Verb;
using Why = LeaseMessage::Why;

std::uint64_t Count(milliseconds span) { return static_cast<std::uint64_t>(span.count()); }

bool Same(const StoredVote& vote, const LeaseMessage& message) {
  return vote.holder == message.holder && vote.token == message.token;
}

}  // namespace

Voter::Voter(const LeaseTerms& terms, Time now, const std::optional<StoredVotes>& stored, VoteStore* store)
    : terms_(terms), store_(store), silent_until_(stored ? now : now + span()) {
  if (!stored) return;
  // No clock survives: each may have been granted a moment ago.
  for (const auto& [duty, vote] : *stored)
    votes_[duty] = {vote, now + std::max<Span>(milliseconds(vote.span_ms), span())};
}

void Voter::Outgrow(const std::string& duty, Token token) {
  if (votes_.size() >= kMostVotes && !votes_.contains(duty)) return;
  Token& largest = votes_[duty].kept.largest;
  largest = std::max(largest, token);
}

Why Voter::Judge(Time now, const LeaseMessage& ask) const {
  if (ask.term_ms != Count(terms_.term)) return Why::kTerm;
  if (ask.drift_ms != Count(terms_.drift)) return Why::kDrift;
  if (ask.voters != terms_.voters) return Why::kVoters;
  if (now < silent_until_) return Why::kSilent;
  const auto found = votes_.find(ask.duty);
  if (found == votes_.end()) return votes_.size() < kMostVotes ? Why::kNone : Why::kFull;
  const Vote& vote = found->second;
  // Its holder asks for a larger token only when it has given this one up.
  const bool again = vote.kept.holder == ask.holder && ask.token > vote.kept.largest;
  if (now < vote.until) return Same(vote.kept, ask) || again ? Why::kNone : Why::kHeld;
  return ask.token > vote.kept.largest ? Why::kNone : Why::kHeld;
}

bool Voter::Keep(const std::string& duty, const StoredVote& vote) {
  if (!store_) return true;
  StoredVotes all;
  for (const auto& [name, each] : votes_) all[name] = each.kept;
  all[duty] = vote;
  return store_->Save(all);
}

LeaseMessage Voter::Answer(Time now, const LeaseMessage& ask) {
  LeaseMessage answer;
  answer.verb = Verb::kDeny;
  answer.duty = ask.duty;
  answer.holder = ask.holder;
  answer.asked = ask.token;
  answer.request = ask.request;
  answer.why = Judge(now, ask);
  if (answer.why == Why::kNone) {
    const auto held = votes_.find(ask.duty);
    const Token largest = held == votes_.end() ? 0 : held->second.kept.largest;
    const StoredVote vote{ask.holder, ask.token, std::max(largest, ask.token),
                          Count(terms_.term + terms_.drift)};
    if ((held != votes_.end() && held->second.kept == vote) || Keep(ask.duty, vote)) {
      const bool same = held != votes_.end() && held->second.kept == vote;
      votes_[ask.duty] = {vote, now + span(), same ? held->second.fresh_until : now + terms_.term / 6};
      answer.verb = Verb::kGrant;
      answer.token = ask.token;
      return answer;
    }
    answer.why = Why::kDisk;
  }
  const auto found = votes_.find(ask.duty);
  const Vote vote = found == votes_.end() ? Vote{} : found->second;
  answer.token = vote.kept.largest;
  if (silent_until_ < Time::max()) {
    // Who has no majority by then gives it back.
    const Time until = now < vote.fresh_until ? std::min(vote.until, vote.fresh_until) : vote.until;
    const Span wait = std::max(Span(0), std::max(until, silent_until_) - now);
    answer.left_ms = Count(std::chrono::ceil<milliseconds>(wait));
  }
  answer.term_ms = Count(terms_.term);
  answer.drift_ms = Count(terms_.drift);
  answer.voters = terms_.voters;
  return answer;
}

void Voter::OnRelease(Time now, const LeaseMessage& release) {
  const auto found = votes_.find(release.duty);
  if (found != votes_.end() && Same(found->second.kept, release))
    found->second.until = std::min(found->second.until, now);
}

void Voter::Fingerprint(Time now, std::vector<std::uint64_t>* words) const {
  words->push_back(WordOf(now, silent_until_));
  for (const auto& [duty, vote] : votes_)
    for (const std::uint64_t word :
         {WordOf(duty), WordOf(vote.kept.holder), vote.kept.token, vote.kept.largest, vote.kept.span_ms,
          WordOf(now, vote.until), WordOf(now, vote.fresh_until)})
      words->push_back(word);
}

}  // namespace load_balancer::fleet
