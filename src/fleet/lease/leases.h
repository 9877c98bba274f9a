// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Leases of roles that at most one member may hold at a time (Gray, Cheriton: "Leases: An Efficient
/// Fault-Tolerant Mechanism for Distributed File Cache Consistency", 1989). A majority of voters grants each
/// lease together with an increasing fencing token. The code owns no socket and no clock. docs/leases.md
/// describes the protocol, its time bounds and the argument for its safety.
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

/// Configuration of a member's leases.
struct LeaseOptions {
  using Endpoint = boost::asio::ip::udp::endpoint;

  std::string holder;            ///< Name of this member with an identifier of its incarnation.
  Endpoint address;              ///< Address at which other members reach this one.
  std::vector<Endpoint> voters;  ///< This member votes if its address is among them.
  std::chrono::milliseconds term{3000};
  std::chrono::milliseconds drift{100};  ///< Maximum time that a clock gains or loses per term.
  std::vector<LeasedRole> leased_roles;
  std::uint64_t seed = 0;                   ///< Seed of the random jitter.
  std::optional<StoredVotes> stored_votes;  ///< Votes of the previous incarnation; nullopt if unknown.
  VoteStore* vote_store = nullptr;          ///< Must outlive Leases. Null: votes stay in memory.
  bool may_vote = true;                     ///< If false, this voter denies all requests.
};

/// Manages all leases of a member, which is a candidate, the holder or a follower of each. If the member is a
/// voter, also answers requests.
class Leases {
 public:
  using Endpoint = LeaseOptions::Endpoint;

  /// Called by functions of Leases. Implementations must not call back into Leases.
  class Callbacks {
   public:
    virtual ~Callbacks() = default;
    /// Sends a message to the address `to`.
    virtual void Send(const Endpoint& to, const LeaseMessage& message) = 0;
    /// Reports that the status of a lease has changed or, with the reason "renewed", that the lease was
    /// extended. A holder must stop acting after `remaining`.
    virtual void OnLeaseStatus(const std::string& lease_name, LeaseStatus status, FencingToken token,
                               Span remaining, std::string_view reason) = 0;
    /// Reports that a voter denies requests for a reason that an operator has to resolve. Called once for
    /// each voter and reason until the voter grants again.
    virtual void OnFailure(const Failure& failure) = 0;
  };

  /// Starts with no lease held. `callbacks` must outlive this object.
  Leases(LeaseOptions options, Time now, Callbacks& callbacks);

  /// Adds a role whose lease this member requests from now on. Does nothing if the role is known.
  void AddLeasedRole(Time now, const LeasedRole& role);

  /// Handles a message of the lease protocol.
  void Receive(Time now, const Endpoint& from, const LeaseMessage& message);
  /// Records a holder's announcement that its lease lasts for another `remaining`.
  void ObserveHolder(Time now, const std::string& lease_name, const std::string& holder, FencingToken token,
                     Span remaining);
  /// Processes due timers. `unix_ms` is the wall clock time, from which new tokens are derived.
  void Tick(Time now, std::uint64_t unix_ms);
  /// Returns when Tick must be called next.
  Time Next() const;

  /// Releases all leases, invalidates all proofs and stops requesting leases until Resume. A lease whose
  /// actions still have effects (LeaseProof::ExtendEffects) is left to expire instead of being released.
  void Release(Time now);
  /// Requests leases again after Release.
  void Resume(Time now);

  /// Raises the largest known token of the lease to at least `token`, which an earlier incarnation has seen.
  void RaiseLargestToken(const std::string& lease_name, FencingToken token);
  /// Returns the largest token that this member has seen for the lease.
  FencingToken largest_token(const std::string& lease_name) const {
    return leases_.at(lease_name).largest_token;
  }

  /// Returns a proof that this member holds the lease at `now`, or nothing if it does not hold it.
  std::optional<LeaseProof> ProveLease(Time now, const std::string& lease_name) const;

  /// Returns the status at `now`, independently of the last Tick, because a stalled process must not act.
  LeaseStatus status(Time now, const std::string& lease_name) const {
    return leases_.at(lease_name).StatusAt(now);
  }
  /// Returns whether the role is exclusive or available.
  LeasedRoleKind kind(const std::string& lease_name) const { return leases_.at(lease_name).kind; }
  /// Returns the token of the lease that is held or followed; 0 before the first lease.
  FencingToken token(const std::string& lease_name) const { return leases_.at(lease_name).token; }
  /// Returns the holder of the lease that is held or followed; empty before the first lease.
  std::string holder(const std::string& lease_name) const { return leases_.at(lease_name).holder; }
  /// Returns the remaining time of the lease that is held or followed, or of the wait for a holder.
  Span remaining(Time now, const std::string& lease_name) const;

  /// Appends all state that determines future behaviour, with times relative to `now`. The model checker
  /// compares these words in order to explore equal states only once.
  void AppendFingerprint(Time now, std::vector<std::uint64_t>* words) const;

 private:
  // Functions for requests and answers, defined in requests.cpp.
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

  // Functions for releases, defined in release.cpp.
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
