// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The voter's side of leases: which requests it grants, and what of its votes survives a restart. Owns no
/// clock and no file. docs/leases.md argues why two leases are never live at once.
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

/// The number of leases on which a voter stores votes; it denies requests for others.
inline constexpr std::size_t kMaxVotes = 256;

/// A vote as it is persisted.
struct StoredVote {
  std::string holder;
  FencingToken token = 0;
  FencingToken largest_token = 0;  ///< That this voter has granted for the lease.
  std::uint64_t duration_ms = 0;   ///< How long the vote binds the voter after each grant.
  bool operator==(const StoredVote&) const = default;
};

/// By lease name.
using StoredVotes = std::map<std::string, StoredVote>;

/// Persists a voter's votes.
class VoteStore {
 public:
  virtual ~VoteStore() = default;
  /// Writes all votes durably before it returns. Returns false if they could not be stored.
  virtual bool Save(const StoredVotes& votes) = 0;
};

/// What voters and requesters must agree on.
struct LeaseTerms {
  std::chrono::milliseconds term{3000};  ///< How long a lease lasts.
  std::chrono::milliseconds drift{100};  ///< What a clock may gain or lose in a term.
  std::uint64_t voter_set_hash = 0;      ///< HashVoterSet of the voters.
};

/// Grants each lease to one holder at a time and never grants a smaller token than before.
class Voter {
 public:
  /// `stored` holds the votes of the incarnation before. Without it they are unknown, so the voter grants
  /// nothing during a grace period of term and drift. `store` may be null, in which case votes are in memory
  /// alone; otherwise it must outlive the voter.
  Voter(const LeaseTerms& terms, Time now, const std::optional<StoredVotes>& stored, VoteStore* store);

  /// Grants nothing from now on.
  void StopGranting() { grace_period_end_ = Time::max(); }
  /// Raises the largest token of the lease to at least one that was seen in an earlier incarnation.
  void RaiseLargestToken(const std::string& lease_name, FencingToken token);

  /// Answers a request with a grant or a denial. A new vote is stored before the grant is returned.
  LeaseMessage Answer(Time now, const LeaseMessage& request);
  /// Ends the vote if holder and token are those of the release.
  void OnRelease(Time now, const LeaseMessage& release);

  /// As Leases::AppendFingerprint.
  void AppendFingerprint(Time now, std::vector<std::uint64_t>* words) const;

 private:
  struct Vote {
    StoredVote stored;
    Time until{};
    /// By then the holder of a new vote has a majority, or has released the token.
    Time decided_by{};
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
