// SPDX-License-Identifier: Apache-2.0
//
// The voter's side of leases: to whom it has granted, what of that outlives it, and when it may grant again.
// Owns no clock and no file. The argument is in docs/leases.md.
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

inline constexpr std::size_t kMostVotes = 256;  // duties

// What is kept of a vote. It holds for `span_ms` from when it was last granted.
struct StoredVote {
  std::string holder;
  Token token = 0, largest = 0;
  std::uint64_t span_ms = 0;
  bool operator==(const StoredVote&) const = default;
};
using StoredVotes = std::map<std::string, StoredVote>;  // by duty

class VoteStore {
 public:
  virtual ~VoteStore() = default;
  // On the disk, fsynced, before it returns; false: not kept.
  virtual bool Save(const StoredVotes& votes) = 0;
};

// What voters and askers must agree on. `voters` is VotersHash.
struct LeaseTerms {
  std::chrono::milliseconds term{3000}, drift{100};
  std::uint64_t voters = 0;
};

class Voter {
 public:
  // `stored`: what a life before has kept; nothing: that is not known, so this is silent for term and drift.
  // `store` may be null: then votes are in memory alone. It outlives this.
  Voter(const LeaseTerms& terms, Time now, const std::optional<StoredVotes>& stored, VoteStore* store);

  // Grants nothing from now on.
  void FallSilent() { silent_until_ = Time::max(); }
  // A token that has been seen in a life before.
  void Outgrow(const std::string& duty, Token token);

  // kGrant or kDeny. A vote that is new is in the store before this returns a grant.
  LeaseMessage Answer(Time now, const LeaseMessage& ask);
  void OnRelease(Time now, const LeaseMessage& release);

  Time silent_until() const { return silent_until_; }

  // As Leases::Fingerprint.
  void Fingerprint(Time now, std::vector<std::uint64_t>* words) const;

 private:
  struct Vote {
    StoredVote kept;
    Time until{};
    Time fresh_until{};  // by then its holder has a majority, or has given the token back
  };
  LeaseMessage::Why Judge(Time now, const LeaseMessage& ask) const;
  bool Keep(const std::string& duty, const StoredVote& vote);
  Span span() const { return terms_.term + terms_.drift; }

  const LeaseTerms terms_;
  VoteStore* const store_;
  Time silent_until_;  // before, a life of this voter that is forgotten may have granted
  std::map<std::string, Vote> votes_;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_LEASE_VOTER_H_
