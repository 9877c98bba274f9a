// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The leases of a node: its votes as a voter, its status for each leased role, and the announcements of the
/// leases that it holds.
#ifndef LOAD_BALANCER_FLEET_NODE_LEASE_PARTICIPANT_H_
#define LOAD_BALANCER_FLEET_NODE_LEASE_PARTICIPANT_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "fleet/lease/leases.h"
#include "fleet/lease/vote_file.h"
#include "fleet/node/fleet_listener.h"
#include "fleet/node/node_options.h"
#include "fleet/section.h"
#include "fleet/wire/message.h"

namespace load_balancer::fleet {

/// Votes on leases, acquires leases, and announces the leases that this process holds.
class LeaseParticipant : private Leases::Callbacks {
 public:
  /// Sends messages and publishes values. Its functions are called only from within calls of
  /// LeaseParticipant.
  class Host {
   public:
    virtual ~Host() = default;
    virtual void SendLease(const Udp::endpoint& to, const LeaseMessage& message) = 0;
    /// Publishes a value with the token of a lease. The value expires after `lifetime`. Fails with
    /// kLeaseExpired if the lease proof is no longer valid.
    virtual Result<void> Publish(const LeaseProof& proof, const std::string& key, nlohmann::json value,
                                 Span lifetime) = 0;
  };

  /// All arguments must outlive the participant.
  LeaseParticipant(const FleetSection& section, const std::string& name, std::uint64_t seed,
                   const NodeOptions& options, FleetListener& listener, Host& host)
      : section_(section), name_(name), seed_(seed), options_(options), listener_(listener), host_(host) {}

  /// Returns whether the fleet's roles have leases. Without leases every process performs every role.
  bool has_leases() const { return section_.lease_term.count() > 0; }
  /// Starts voting and acquiring leases, if the roles have leases. Call this only after the process has bound
  /// its address: the previous process, which uses the same vote file, has stopped voting by then.
  void Start(std::uint64_t incarnation);
  /// Releases all leases and requests none until Resume is called.
  void Release();
  void Resume();
  void Receive(const Udp::endpoint& from, const LeaseMessage& message);
  void Tick();
  /// Returns the time at which Tick is due next.
  Time Next() const;

  /// Processes the announcement of another holder. Returns false if the value is not an announcement.
  bool ReceiveAnnouncement(const FencedValue& fenced);

  /// Returns the highest known token of each leased role. The map is empty before Start.
  std::map<std::string, FencingToken> HighestTokens() const;
  /// Ensures that future tokens are higher than those in `tokens`.
  void RaiseTokens(const std::map<std::string, FencingToken>& tokens);

  /// Returns whether this process must perform the leased role `duty`; node.h lists the cases.
  bool IsResponsibleFor(const std::string& duty) const;
  /// Returns the proof that this process holds the lease of the role, or nothing if it does not.
  std::optional<LeaseProof> ProveLease(const std::string& duty) const;
  /// Returns whether another member is known to hold the lease of the role.
  bool IsFollowerOf(const std::string& duty) const;
  /// Returns the fencing token of the role's lease if this process holds it, and 0 otherwise.
  FencingToken HeldToken(const std::string& duty) const;
  /// Returns the known holder of the role's lease, or an empty string.
  std::string HolderOf(const std::string& duty) const;
  /// Returns one line with every leased role; Node::DescribeLeases documents the format.
  std::string Describe() const;

 private:
  void Send(const Udp::endpoint& to, const LeaseMessage& message) override;
  void OnLeaseStatus(const std::string& duty, LeaseStatus status, FencingToken token, Span left,
                     std::string_view why) override;
  void OnFailure(const Failure& failure) override;

  void LoadVotes(LeaseOptions* options);
  bool IsExclusive(const std::string& duty) const;
  std::string DescribeDuty(const std::string& duty, LeasedRoleKind kind) const;

  const FleetSection& section_;
  const std::string& name_;
  const std::uint64_t seed_;
  const NodeOptions& options_;
  FleetListener& listener_;
  Host& host_;
  std::string holder_;  // the holder name of this process, unique to this incarnation
  std::unique_ptr<VoteFile> vote_file_;
  std::optional<Leases> leases_;  // set by Start
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_NODE_LEASE_PARTICIPANT_H_
