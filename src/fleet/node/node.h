// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// A member of a fleet. A Node runs membership, replicated state, leases and payloads on one socket and one
/// timer, and logs each change. A process that is a member of several fleets has one Node for each. The Node
/// does not route requests.
#ifndef LOAD_BALANCER_FLEET_NODE_NODE_H_
#define LOAD_BALANCER_FLEET_NODE_NODE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fleet/membership/membership.h"
#include "fleet/node/fleet_listener.h"
#include "fleet/node/lease_participant.h"
#include "fleet/node/limit_share.h"
#include "fleet/node/node_options.h"
#include "fleet/node/payload_subscriptions.h"
#include "fleet/node/state_exchange.h"
#include "fleet/node/transport.h"
#include "fleet/section.h"

namespace load_balancer::fleet {

/// Makes this process a member of a fleet.
class Node : private Transport::Host,
             private Membership::Callbacks,
             private StateExchange::Host,
             private LeaseParticipant::Host {
 public:
  /// Joins the fleet. If the process that this one replaces still uses the address, the node joins as soon as
  /// the address is free. `name` is the member's name, and `seed` seeds its random numbers. `listener` must
  /// outlive the node; it is called from the event loop only, never from within the constructor.
  Node(boost::asio::io_context& io, const FleetSection& section, const std::string& name, std::uint64_t seed,
       FleetListener& listener, NodeOptions options = {});

  /// Releases all leases and leaves the fleet.
  void Leave();
  /// Joins the fleet again after Leave.
  void Rejoin();
  /// Leaves the fleet and frees the address for another process.
  void Stop();

  /// The state that a process passes to its next incarnation, so that the incarnation number and the tokens
  /// of the next one are higher.
  struct SavedState {
    std::uint64_t incarnation = 0;
    std::map<std::string, FencingToken> tokens;  ///< by leased role
  };
  SavedState Save() const;
  /// Adopts the state of the previous incarnation. Call this before the event loop runs.
  void Restore(const SavedState& saved);

  /// Disseminates an observation of this process to the other members.
  void Announce(Ejection ejection) { state_.Announce(std::move(ejection)); }
  void Announce(KeyAffinity affinity) { state_.Announce(std::move(affinity)); }

  /// Returns whether this process must perform the leased role `duty`: it holds the lease, roles have no
  /// leases, or there is no quorum of voters and the role is of kind kAvailable.
  bool IsResponsibleFor(const std::string& duty) const { return leases_.IsResponsibleFor(duty); }
  /// Returns the proof that this process holds the lease of the role, or nothing if it does not.
  std::optional<LeaseProof> ProveLease(const std::string& duty) const { return leases_.ProveLease(duty); }
  /// Returns whether roles have leases. Without leases every process performs every role.
  bool has_leases() const { return leases_.has_leases(); }
  /// Returns whether another member is known to hold the lease of the role.
  bool IsFollowerOf(const std::string& duty) const { return leases_.IsFollowerOf(duty); }
  /// Returns the fencing token of the role's lease if this process holds it, and 0 otherwise.
  FencingToken HeldToken(const std::string& duty) const { return leases_.HeldToken(duty); }
  /// Returns the known holder of the role's lease, or an empty string.
  std::string HolderOf(const std::string& duty) const { return leases_.HolderOf(duty); }
  /// Publishes a value with the fencing token of the lease that `proof` proves. The value expires after
  /// `lifetime`. Fails with kLeaseExpired if the proof is no longer valid.
  Result<void> Publish(const LeaseProof& proof, const std::string& key, nlohmann::json value,
                       Span lifetime) override;
  /// Publishes several values in as few messages as possible.
  Result<void> Publish(const LeaseProof& proof, std::vector<NamedValue> values, Span lifetime);

  /// Publishes a value of a role that has no lease; see kUnfencedToken.
  void PublishUnfenced(FencedValue value);

  /// Sends a payload to the channel's subscriber at another member. A member without a subscriber drops the
  /// payload. The payload may also be lost, like any datagram. Returns false and sends nothing if the
  /// channel's name is empty or exceeds kMaxChannelBytes, or if the payload exceeds kMaxPayloadBytes.
  bool Send(const Udp::endpoint& to, std::string channel, nlohmann::json payload);
  /// Sets the function that handles the payloads that arrive on a channel.
  void Subscribe(std::string channel, PayloadHandler handler) {
    subscriptions_.Subscribe(std::move(channel), std::move(handler));
  }
  /// Returns the membership, or null until the process has bound its address.
  const Membership* membership() const { return membership_ ? &*membership_ : nullptr; }

  /// Returns one line with every leased role as "duty role holder=H token=N left=SECONDSs kind=K", separated
  /// by commas. The line is empty before this process participates in leases.
  std::string DescribeLeases() const { return leases_.Describe(); }
  /// Returns one line about the shared state; the format is described in describe.h.
  std::string DescribeState();
  /// Returns one line about the members; the format is described in describe.h.
  std::string DescribeMembers() const;
  const TrafficCounters& counters() const { return transport_.counters(); }

 private:
  void OnOpen() override;
  void OnMessage(const Message& message) override;

  void Send(const Udp::endpoint& to, const Message& message) override;
  bool TrySend(const Udp::endpoint& to, const Message& message) override;
  void OnMemberChanged(const Member& member, std::optional<MemberState> before,
                       std::string_view why) override;
  void OnStalled(Span late) override;
  void OnDisplaced(const Udp::endpoint& by) override;

  void OnFencedValue(const FencedValue& fenced) override;

  void SendLease(const Udp::endpoint& to, const LeaseMessage& lease) override;

  Message MakeMessage(Message::Kind kind) const;
  void ScheduleTick();
  void Tick();

  const FleetSection section_;
  const std::string name_;
  const std::uint64_t seed_;
  const NodeOptions options_;
  FleetListener& listener_;
  boost::asio::steady_timer timer_;
  Transport transport_;
  StateExchange state_;
  LimitShare limit_share_;
  LeaseParticipant leases_;
  PayloadSubscriptions subscriptions_;
  std::optional<Membership> membership_;  // set once the process has bound its address
  SavedState saved_;                      // state of the previous incarnation
  Time scheduled_tick_{};
  bool is_stopped_ = false;
  bool has_left_ = false;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_NODE_NODE_H_
