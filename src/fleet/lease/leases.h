// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Leases of roles that one member has at a time (Gray, Cheriton: "Leases: An Efficient Fault-Tolerant
/// Mechanism for Distributed File Cache Consistency", 1989). A majority of voters grants each lease, with a
/// fencing token that only grows. Owns no socket and no clock. docs/leases.md has the protocol, its bounds
/// and the argument for its safety.
#ifndef LOAD_BALANCER_FLEET_LEASE_LEASES_H_
#define LOAD_BALANCER_FLEET_LEASE_LEASES_H_

#include <boost/asio/ip/udp.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "fleet/lease/denial_reporter.h"
#include "fleet/lease/fencing.h"
#include "fleet/lease/lease_state.h"
#include "fleet/lease/leased_role.h"
#include "fleet/lease/message.h"
#include "fleet/lease/voter.h"

namespace load_balancer::fleet {

struct LeaseOptions {
  using Endpoint = boost::asio::ip::udp::endpoint;

  std::string holder;            ///< This member's name and a mark of its incarnation.
  Endpoint address;              ///< Where the others reach this member.
  std::vector<Endpoint> voters;  ///< This member votes if its address is among them.
  std::chrono::milliseconds term{3000};
  std::chrono::milliseconds drift{100};  ///< What a clock may gain or lose in a term.
  std::vector<LeasedRole> leased_roles;
  std::uint64_t seed = 0;                   ///< For the jitter of attempts.
  std::optional<StoredVotes> stored_votes;  ///< Of the incarnation before; nothing if they are unknown.
  VoteStore* vote_store = nullptr;          ///< Null: votes are in memory alone. Outlives the leases.
  bool may_vote = true;                     ///< Otherwise this voter grants nothing.
};

/// A member's side of all its leases, as candidate, holder and follower, together with its vote.
class Leases {
 public:
  using Endpoint = LeaseOptions::Endpoint;

  /// Called from within the functions of Leases; must not call back into them.
  class Callbacks {
   public:
    virtual ~Callbacks() = default;
    virtual void Send(const Endpoint& to, const LeaseMessage& message) = 0;
    /// The status of a lease has changed or, with the reason "renewed", is the same for longer. A holder must
    /// stop after `remaining`.
    virtual void OnLeaseStatus(const std::string& lease_name, LeaseStatus status, FencingToken token,
                               Span remaining, std::string_view reason) = 0;
    /// A voter denies for a reason that an operator has to resolve. Once for each voter and reason, until it
    /// grants.
    virtual void OnFailure(const Failure& failure) = 0;
  };

  /// `callbacks` must outlive this.
  Leases(LeaseOptions options, Time now, Callbacks& callbacks);

  /// Requests the lease of one more role from now on. Does nothing if the role is known.
  void AddLeasedRole(Time now, const LeasedRole& role);

  void Receive(Time now, const Endpoint& from, const LeaseMessage& message);
  /// A holder has announced that it has the lease for `remaining` longer.
  void ObserveHolder(Time now, const std::string& lease_name, const std::string& holder, FencingToken token,
                     Span remaining);
  /// Does what is due. `unix_ms` is the wall clock, from which new tokens are made.
  void Tick(Time now, std::uint64_t unix_ms);
  /// When Tick is to be called next.
  Time Next() const;

  /// Releases all leases and requests none until Resume. Invalidates all proofs. A lease whose acts still
  /// have effects (LeaseProof::ExtendEffects) is left to expire instead.
  void Release(Time now);
  void Resume(Time now);

  /// Raises the largest token of the lease to at least one that was seen in an earlier incarnation.
  void RaiseLargestToken(const std::string& lease_name, FencingToken token);
  FencingToken largest_token(const std::string& lease_name) const {
    return leases_.at(lease_name).largest_token;
  }

  /// Proof that this member holds the lease at `now`; nothing if it does not.
  std::optional<LeaseProof> ProveLease(Time now, const std::string& lease_name) const;

  /// By the clock rather than by the last Tick: a stalled process must not act.
  LeaseStatus status(Time now, const std::string& lease_name) const {
    return leases_.at(lease_name).StatusAt(now);
  }
  LeasedRoleKind kind(const std::string& lease_name) const { return leases_.at(lease_name).kind; }
  /// Token and holder of the lease that is held or followed; 0 and empty if there has been none.
  FencingToken token(const std::string& lease_name) const { return leases_.at(lease_name).token; }
  std::string holder(const std::string& lease_name) const { return leases_.at(lease_name).holder; }
  /// How much longer the lease held or followed lasts, or the wait.
  Span remaining(Time now, const std::string& lease_name) const;

  /// Appends all that decides the future behaviour, moments relative to `now`, so that a model checker
  /// explores equal states once.
  void AppendFingerprint(Time now, std::vector<std::uint64_t>* words) const;

 private:
  // Requests and their answers: requests.cpp.
  void SendRequest(Time now, LeaseState& lease, FencingToken token);
  void RetransmitRequest(Time now, LeaseState& lease);
  LeaseMessage MakeRequest(const LeaseState& lease) const;
  void OnGrant(Time now, const Endpoint& from, const LeaseMessage& message);
  void OnDenial(Time now, const Endpoint& from, const LeaseMessage& message);
  void ExtendLease(Time now, LeaseState& lease);
  void FailAttempt(Time now, LeaseState& lease);
  LeaseState* FindRequested(const LeaseMessage& answer);
  bool IsVoter(const Endpoint& address) const;
  std::size_t MajoritySize() const;

  // Releases: release.cpp.
  void ReleaseLease(Time now, LeaseState& lease);
  void TransmitRelease(Time now, LeaseState& lease);
  void ReleaseLateGrant(Time now, const Endpoint& voter, const LeaseMessage& grant, const LeaseState& lease);

  void TickLease(Time now, LeaseState& lease, std::uint64_t unix_ms);
  void OnExpiry(Time now, LeaseState& lease);
  void SetStatus(Time now, LeaseState& lease, LeaseStatus status, Time until, std::string_view reason);
  void Deliver(Time now, const Endpoint& to, const LeaseMessage& message);
  void DeliverToVoters(Time now, const LeaseMessage& message);
  LeaseMessage MakeMessage(LeaseMessage::Type type, const std::string& lease_name, FencingToken token) const;
  Span RandomSpan(Span longest);

  const LeaseOptions options_;
  const LeaseTerms terms_;
  Callbacks& callbacks_;
  Voter voter_;
  std::map<std::string, LeaseState> leases_;  // by name
  std::uint64_t last_request_number_;
  std::uint64_t random_draws_ = 0;
  DenialReporter denial_reporter_;
  bool is_released_ = false;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_LEASE_LEASES_H_
