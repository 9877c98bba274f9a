// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The voter of the lease protocol: decides which requests are granted and which votes are persisted. It owns
/// no clock and no file. docs/leases.md explains why two leases of a role are never valid at once.
#ifndef LOAD_BALANCER_FLEET_LEASE_VOTER_H_
#define LOAD_BALANCER_FLEET_LEASE_VOTER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "fleet/lease/message.h"

namespace load_balancer::fleet {

/// Maximum number of leases for which a voter stores votes. It denies requests for further leases.
inline constexpr std::size_t kMaxVotes = 256;

/// A vote as it is persisted.
struct StoredVote {
  std::string holder;
  FencingToken token = 0;
  FencingToken largest_token = 0;  ///< Largest token that this voter has granted for the lease.
  std::uint64_t duration_ms = 0;   ///< How long the vote binds the voter after each grant.
  bool operator==(const StoredVote&) const = default;
};

/// Votes by lease name.
using StoredVotes = std::map<std::string, StoredVote>;

/// Persists a voter's votes.
class VoteStore {
 public:
  virtual ~VoteStore() = default;
  /// Stores all votes durably before it returns. Returns false if they could not be stored.
  virtual bool Save(const StoredVotes& votes) = 0;
};

/// Configuration that must be equal at voters and requesters.
struct LeaseTerms {
  std::chrono::milliseconds term{3000};  ///< How long a lease lasts.
  std::chrono::milliseconds drift{100};  ///< Maximum time that a clock gains or loses per term.
  std::uint64_t voter_set_hash = 0;      ///< HashVoterSet of the voters.
};

/// Grants each lease to at most one holder at a time, and never grants a token smaller than an earlier one.
class Voter {
 public:
  /// `stored` holds the votes of the previous incarnation. If it has no value, the votes are unknown and the
  /// voter grants nothing during a grace period of term plus drift. If `store` is null, votes are kept in
  /// memory only; otherwise it must outlive the voter.
  Voter(const LeaseTerms& terms, Time now, const std::optional<StoredVotes>& stored, VoteStore* store);

  /// Denies all requests from now on.
  void StopGranting() { grace_period_end_ = Time::max(); }
  /// Raises the largest token of the lease to at least `token`, which an earlier incarnation has seen.
  void RaiseLargestToken(const std::string& lease_name, FencingToken token);

  /// Returns a grant or a denial of the request. Stores a new vote before returning its grant.
  LeaseMessage Answer(Time now, const LeaseMessage& request);
  /// Ends the vote if its holder and token match the release.
  void OnRelease(Time now, const LeaseMessage& release);

  /// Appends all state of this voter that determines future behaviour, with times relative to `now`. The
  /// model checker uses it through Leases::AppendFingerprint.
  void AppendFingerprint(Time now, std::vector<std::uint64_t>* words) const;

 private:
  /// A vote with the times that are not persisted.
  struct Vote {
    StoredVote stored;
    Time until{};  ///< End of the time for which the vote binds this voter.
    /// When the request of a new vote times out: by then the requester has a majority or releases the token.
    Time decision_deadline{};
  };

  LeaseMessage::DenialReason CheckRequest(Time now, const LeaseMessage& request) const;
  bool GrantVote(Time now, const LeaseMessage& request);
  bool PersistVote(const std::string& lease_name, const StoredVote& vote);
  LeaseMessage MakeDenial(Time now, const LeaseMessage& request, LeaseMessage::DenialReason reason) const;
  Span RetryAfter(Time now, const Vote& vote) const;
  Span VoteDuration() const { return terms_.term + terms_.drift; }

  const LeaseTerms terms_;
  VoteStore* const store_;
  Time grace_period_end_;
  std::map<std::string, Vote> votes_;  // by lease name
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_LEASE_VOTER_H_
