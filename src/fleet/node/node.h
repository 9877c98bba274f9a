// SPDX-License-Identifier: Apache-2.0
//
// This process as a member of a fleet: membership, shared state, leases and what else goes between members,
// on one socket and one timer, with a log line of every change. A process may be a member of several fleets,
// with a Node for each. Nothing here bears on where a request goes.
#ifndef LOAD_BALANCER_FLEET_NODE_NODE_H_
#define LOAD_BALANCER_FLEET_NODE_NODE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fleet/lease/leases.h"
#include "fleet/lease/vote_file.h"
#include "fleet/membership/membership.h"
#include "fleet/node/fleet_listener.h"
#include "fleet/node/limit_share.h"
#include "fleet/node/payload_subscriptions.h"
#include "fleet/node/state_exchange.h"
#include "fleet/node/transport.h"
#include "fleet/section.h"

namespace load_balancer::fleet {

// The duties that are done by one member at a time: discovery is available, maintenance exclusive.
inline constexpr char kDiscoveryDuty[] = "discovery", kMaintenanceDuty[] = "maintenance";

// Those of a site's fleet.
inline std::vector<LeasedRole> SiteLeasedRoles() {
  return {{kDiscoveryDuty, LeasedRoleKind::kAvailable}, {kMaintenanceDuty, LeasedRoleKind::kExclusive}};
}

struct NodeOptions {
  std::string component = "fleet";                     // that speaks in the log
  std::vector<LeasedRole> duties = SiteLeasedRoles();  // with leases, where the section has a term
  std::string votes;  // the file that keeps this voter's votes; empty: they are in memory alone
};

class Node : private Transport::Host,
             private Membership::Callbacks,
             private StateExchange::Host,
             private Leases::Callbacks {
 public:
  // Joins at once, or, while another process holds the address (one that this one replaces), as soon as that
  // one leaves it. `name` is the member's, `seed` for random numbers. `facts` outlives this and is called
  // from the event loop only, never from within the constructor.
  Node(boost::asio::io_context& io, const FleetSection& section, const std::string& name, std::uint64_t seed,
       FleetListener& facts, NodeOptions options = {});

  void Leave();
  void Rejoin();
  // Leaves, and leaves the address to another process.
  void Stop();

  // For the process's next life; and what a life before had. To be called before the event loop runs.
  struct Kept {
    std::uint64_t incarnation = 0;
    std::map<std::string, FencingToken> tokens;
  };
  Kept Keep() const;
  void Restore(const Kept& kept);

  // What this process has found, for its peers.
  void Announce(Ejection ejection);
  void Announce(KeyAffinity affinity);

  // Whether this process is to do the duty: it holds the lease, or there are no leases, or, of an available
  // duty, no quorum for one.
  bool Does(const std::string& duty) const;
  // The right to act for the duty; nothing unless this process holds its lease.
  std::optional<LeaseProof> ProveLease(const std::string& duty) const;
  // Whether duties have leases here; without them each process does each duty.
  bool leased() const { return section_.lease_term.count() > 0; }
  // Another member is known to hold it.
  bool IsFollowerOf(const std::string& duty) const;
  // Of the lease that this process holds; 0 if it holds none.
  FencingToken HeldToken(const std::string& duty) const;
  std::string HolderOf(const std::string& duty) const;
  // Makes a fact of the proof's duty known for so long, under its token. Refuses with kLeaseExpired.
  Result<void> Publish(const LeaseProof& proof, const std::string& key, nlohmann::json value, Span lasts);

  // To a member's address, for who has subscribed to the channel there; a member that has none drops it. It
  // may be lost, as any datagram may. False, and nothing is sent, if the channel's name is empty or over
  // kMaxChannelBytes bytes or the payload over kMaxPayloadBytes bytes (MessagePack).
  bool Send(const Udp::endpoint& to, std::string channel, nlohmann::json payload);
  void Subscribe(std::string channel, PayloadHandler take) {
    channels_.Subscribe(std::move(channel), std::move(take));
  }
  // Who is present; nothing until the address is had.
  const Membership* membership() const { return membership_ ? &*membership_ : nullptr; }

  // One line: every duty as "duty role holder token left".
  std::string DescribeLeases() const;
  // One line: of each kind of shared state how much is held, its newest and oldest age, the share of the
  // limit, and what was refused.
  std::string DescribeState();
  // One line: every member as "name state incarnation age", this one first, and the counts.
  std::string Describe() const;
  const TrafficCounters& counts() const { return transport_.counts(); }

 private:
  void OnOpen() override;
  void OnMessage(const Message& message) override;

  void Send(const Udp::endpoint& to, const Message& message) override;
  void OnMemberChanged(const Member& member, std::optional<MemberState> before,
                       std::string_view why) override;
  void OnStalled(Span late) override;
  void OnDisplaced(const Udp::endpoint& by) override;

  void OnFact(const FencedValue& fact) override;

  void Send(const Udp::endpoint& to, const LeaseMessage& message) override;
  void OnLeaseStatus(const std::string& duty, LeaseStatus status, FencingToken token, Span left,
                     std::string_view why) override;
  void OnFailure(const Failure& failure) override;

  void StartLeases();
  void LoadVotes(LeaseOptions* options);
  void Arm();

  const FleetSection section_;
  const std::string name_;
  const std::uint64_t seed_;
  const NodeOptions options_;
  FleetListener& facts_;
  boost::asio::steady_timer timer_;
  Transport transport_;
  StateExchange state_;
  LimitShare share_;
  PayloadSubscriptions channels_;
  bool stopped_ = false;
  bool away_ = false;                     // told to leave while the address was not to be had
  std::optional<Membership> membership_;  // once the address is had
  std::string holder_;  // the name, the incarnation, and a mark that differs even if the wall clock went back
  std::unique_ptr<VoteFile> votes_;
  std::optional<Leases> leases_;  // where they are wanted
  Time armed_{};
  Kept kept_;  // of a life before
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_NODE_NODE_H_
