// SPDX-License-Identifier: Apache-2.0
//
// A member of one pool. It combines membership, shared state and leases as src/fleet/node/node.cpp does, with
// a machine of the model in place of the socket, the timer and the clocks.
#ifndef LOAD_BALANCER_MODEL_FLEET_MEMBER_H_
#define LOAD_BALANCER_MODEL_FLEET_MEMBER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/lease/leases.h"
#include "fleet/membership/membership.h"
#include "fleet/node/send_budget.h"
#include "fleet/section.h"
#include "fleet/state/gossip.h"
#include "fleet/wire/message.h"
#include "model/fleet/votes.h"
#include "model/program.h"

namespace load_balancer::model {

class PoolMember;

// A message between members of one pool. A machine that is a member of several pools has one address for all
// of them.
struct Datagram {
  std::size_t pool = 0;
  fleet::Message message;
};

// Receives events of all members for checks. Its functions are called from within the members' calls;
// TrueTime() of the member's host is the time of the event.
class Observer {
 public:
  virtual ~Observer() = default;
  virtual void OnMemberChanged(const PoolMember&, const fleet::Member&, std::optional<fleet::MemberState>) {}
  // Called when a member accepts another member's entry of shared state.
  virtual void OnEntryAccepted(const PoolMember&, const fleet::Entry&) {}
  virtual void OnLeaseStatus(const PoolMember&, const std::string& /*duty*/, fleet::LeaseStatus,
                             fleet::FencingToken, Span) {}
  virtual void OnMessageSent(const PoolMember&, const Endpoint& /*to*/, const fleet::Message&) {}
};

// Options of a PoolMember.
struct PoolOptions {
  fleet::FleetSection section;  // the configuration; `bind` and `advertise` are ignored
  std::size_t pool = 0;
  std::size_t site = 0;
  std::vector<fleet::LeasedRole> duties;  // leased if section.lease_term is not zero
  std::uint64_t seed = 0;                 // seed of this incarnation's random numbers
  Observer* observer = nullptr;           // may be null; must outlive the member
};

// Makes a machine a member of one pool.
class PoolMember : private fleet::Membership::Callbacks,
                   private fleet::SharedState::Host,
                   private fleet::StateGossip::MessageSender,
                   private fleet::Leases::Callbacks {
 public:
  // Joins the pool. `host` is the machine and must outlive the member.
  PoolMember(model::Host& host, PoolOptions options);

  void Receive(const Packet& packet, const fleet::Message& message);
  void Tick();
  Time Next() const;

  // Disseminate an observation of this process to the other members.
  void Announce(fleet::Ejection ejection);
  void Announce(fleet::KeyAffinity affinity);
  // Publishes a value of the leased role `duty` for `lifetime`. Does nothing unless this member holds the
  // lease of the role.
  void Publish(const std::string& duty, const std::string& key, nlohmann::json value, Span lifetime);
  // Publishes several values of the role at once.
  void Publish(const std::string& duty, std::vector<fleet::NamedValue> values, Span lifetime);
  // Publish values under a lease of any pool. Return false and publish nothing if the proof is no longer
  // valid.
  bool Publish(const fleet::LeaseProof& proof, const std::string& key, nlohmann::json value, Span lifetime);
  bool Publish(const fleet::LeaseProof& proof, std::vector<fleet::NamedValue> values, Span lifetime);
  // Sends a payload to the member at an address. Received payloads are in the message of a Datagram.
  void Send(const Endpoint& to, std::string channel, nlohmann::json payload);
  // Releases all leases and leaves the pool.
  void Leave();
  // Joins the pool again after Leave.
  void Rejoin();

  const model::Host& host() const { return host_; }
  const PoolOptions& options() const { return options_; }
  const fleet::Membership& membership() const { return membership_; }
  // Returns the leases, or null if there is no lease term.
  const fleet::Leases* leases() const { return leases_ ? &*leases_ : nullptr; }
  bool HoldsLease(const std::string& duty) const;
  std::optional<fleet::LeaseProof> ProveLease(const std::string& duty) const;
  // Returns the name of the member that is known to hold the lease of the role, or an empty string.
  std::string HolderOf(const std::string& duty) const;
  // Returns the number of lease failures that require an operator.
  std::uint64_t failures() const { return failures_; }
  fleet::SharedState& state() { return gossip_.state(); }
  // Returns the number of messages not sent because of the bandwidth limit.
  std::uint64_t throttled() const { return throttled_; }

 private:
  void Send(const Endpoint& to, const fleet::Message& message) override;
  bool TrySend(const Endpoint& to, const fleet::Message& message) override;
  void Deliver(const Endpoint& to, fleet::Message message, std::size_t bytes);
  void OnMemberChanged(const fleet::Member& member, std::optional<fleet::MemberState> before,
                       std::string_view why) override;
  void OnStalled(Span) override {}
  void OnDisplaced(const Endpoint&) override;

  bool IsListed(const std::string&) const override { return true; }
  void OnAccepted(const fleet::Entry& entry) override;
  void OnRejected(const std::string&, const std::string&, fleet::EntryRejection) override {}

  void Send(const Endpoint& to, const fleet::LeaseMessage& lease) override;
  void OnLeaseStatus(const std::string& duty, fleet::LeaseStatus status, fleet::FencingToken token, Span left,
                     std::string_view why) override;
  void OnFailure(const Failure&) override { ++failures_; }

  void StartLeases();
  std::string HolderName() const;
  void ObserveLeaseAnnouncement(const fleet::FencedValue& fenced);
  std::size_t EncodedSize(const fleet::Message& message) const;

  model::Host& host_;
  const PoolOptions options_;
  fleet::StateGossip gossip_;
  fleet::SendBudget budget_;
  std::uint64_t throttled_ = 0, failures_ = 0;
  fleet::Membership membership_;
  DiskVotes votes_;
  std::optional<fleet::Leases> leases_;
};

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_FLEET_MEMBER_H_
