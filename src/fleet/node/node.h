// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// This process as a member of a fleet: membership, replicated state, leases and payloads on one socket and
/// one timer, with a log line for each change. A process may be a member of several fleets, with a Node for
/// each. Where requests go is decided elsewhere.
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

class Node : private Transport::Host,
             private Membership::Callbacks,
             private StateExchange::Host,
             private LeaseParticipant::Host {
 public:
  /// Joins at once or, while another process has the address (one that this process replaces), as soon as
  /// that one leaves it. `name` is the member's, `seed` that of random numbers. `listener` outlives this and
  /// is called from the event loop only, never from within the constructor.
  Node(boost::asio::io_context& io, const FleetSection& section, const std::string& name, std::uint64_t seed,
       FleetListener& listener, NodeOptions options = {});

  void Leave();
  void Rejoin();
  /// Leaves, and releases the address for another process.
  void Stop();

  /// What a process hands on to its next incarnation, so that its claims and tokens are newer.
  struct SavedState {
    std::uint64_t incarnation = 0;
    std::map<std::string, FencingToken> tokens;  ///< by duty
  };
  SavedState Save() const;
  /// To be called before the event loop runs.
  void Restore(const SavedState& saved);

  /// Informs the peers of what this process has observed.
  void Announce(Ejection ejection) { state_.Announce(std::move(ejection)); }
  void Announce(KeyAffinity affinity) { state_.Announce(std::move(affinity)); }

  /// Whether this process is to perform the duty: it holds the lease, or there are no leases, or no quorum
  /// for the lease of an available duty.
  bool IsResponsibleFor(const std::string& duty) const { return leases_.IsResponsibleFor(duty); }
  /// The right to act for the duty; nothing unless this process holds its lease.
  std::optional<LeaseProof> ProveLease(const std::string& duty) const { return leases_.ProveLease(duty); }
  /// Whether duties have leases; without leases each process performs each duty.
  bool has_leases() const { return leases_.has_leases(); }
  /// Whether another member is known to hold the duty's lease.
  bool IsFollowerOf(const std::string& duty) const { return leases_.IsFollowerOf(duty); }
  /// The token of the duty's lease if this process holds it; 0 otherwise.
  FencingToken HeldToken(const std::string& duty) const { return leases_.HeldToken(duty); }
  std::string HolderOf(const std::string& duty) const { return leases_.HolderOf(duty); }
  /// Publishes a value of the proof's duty for `lifetime`, under its token. Fails with kLeaseExpired.
  Result<void> Publish(const LeaseProof& proof, const std::string& key, nlohmann::json value,
                       Span lifetime) override;
  /// The same for several values, which go out in as few messages as they fit.
  Result<void> Publish(const LeaseProof& proof, std::vector<NamedValue> values, Span lifetime);

  /// Sends a payload to the subscriber of the channel at a member; one without subscriber drops it, and it
  /// may be lost as any datagram. False, and nothing is sent, if the channel's name is empty or exceeds
  /// kMaxChannelBytes, or the payload exceeds kMaxPayloadBytes.
  bool Send(const Udp::endpoint& to, std::string channel, nlohmann::json payload);
  void Subscribe(std::string channel, PayloadHandler handler) {
    subscriptions_.Subscribe(std::move(channel), std::move(handler));
  }
  /// Null until the process has its address.
  const Membership* membership() const { return membership_ ? &*membership_ : nullptr; }

  /// One line: every duty as "duty role holder token left".
  std::string DescribeLeases() const { return leases_.Describe(); }
  /// One line; see describe.h.
  std::string DescribeState();
  /// One line; see describe.h.
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
  std::optional<Membership> membership_;  // once the process has its address
  SavedState saved_;                      // of a former incarnation
  Time scheduled_tick_{};
  bool is_stopped_ = false;
  bool has_left_ = false;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_NODE_NODE_H_
