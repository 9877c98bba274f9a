// SPDX-License-Identifier: Apache-2.0
//
// A member of one pool: membership, shared state and leases put together as src/fleet/node/node.cpp does it,
// with a machine of the model in place of socket, timer and clocks.
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

// A message between members of one pool. A machine may be a member of several: they share its address.
struct Datagram {
  std::size_t pool = 0;
  fleet::Message message;
};

// What checks see of all members. Called from within their calls; `True()` of the host tells when.
class Observer {
 public:
  virtual ~Observer() = default;
  virtual void OnChanged(const PoolMember&, const fleet::Member&, std::optional<fleet::MemberState>) {}
  // Another member's entry of shared state is taken.
  virtual void OnTaken(const PoolMember&, const fleet::Entry&) {}
  virtual void OnLeaseStatus(const PoolMember&, const std::string& /*duty*/, fleet::LeaseStatus,
                             fleet::FencingToken, Span) {}
  virtual void OnSent(const PoolMember&, const Endpoint& /*to*/, const fleet::Message&) {}
};

struct PoolOptions {
  fleet::FleetSection section;  // as the configuration has it; `bind` and `advertise` are not read
  std::size_t pool = 0;
  std::size_t site = 0;
  std::vector<fleet::LeasedRole> duties;  // with leases: section.lease_term over zero
  std::uint64_t seed = 0;                 // of this life
  Observer* observer = nullptr;           // null: none; outlives the member
};

class PoolMember : private fleet::Membership::Callbacks,
                   private fleet::SharedState::Host,
                   private fleet::StateGossip::MessageSender,
                   private fleet::Leases::Callbacks {
 public:
  // Joins at once. The host is the machine's and outlives this.
  PoolMember(model::Host& host, PoolOptions options);

  void Receive(const Packet& packet, const fleet::Message& message);
  void Tick();
  Time Next() const;

  // What this process has found, for its peers.
  void Announce(fleet::Ejection ejection);
  void Announce(fleet::KeyAffinity affinity);
  // A fact of a duty for so long; nothing unless this member holds the lease.
  void Publish(const std::string& duty, const std::string& key, nlohmann::json value, Span lasts);
  // The same for several facts at once.
  void Publish(const std::string& duty, std::vector<fleet::NamedValue> values, Span lasts);
  // The same under a lease of any pool; false, and nothing, if it does not hold now.
  bool Publish(const fleet::LeaseProof& proof, const std::string& key, nlohmann::json value, Span lasts);
  bool Publish(const fleet::LeaseProof& proof, std::vector<fleet::NamedValue> values, Span lasts);
  // To whoever has that address in the pool, for a layer above. What comes is in Datagram's message.
  void Send(const Endpoint& to, std::string channel, nlohmann::json payload);
  // Out of the pool, its leases given back, and in again.
  void Leave();
  void Rejoin();

  const model::Host& host() const { return host_; }
  const PoolOptions& options() const { return options_; }
  const fleet::Membership& membership() const { return membership_; }
  // Null: none are wanted.
  const fleet::Leases* leases() const { return leases_ ? &*leases_ : nullptr; }
  bool Holds(const std::string& duty) const;
  std::optional<fleet::LeaseProof> ProveLease(const std::string& duty) const;
  // The name of the member that is known to hold the duty; empty: none.
  std::string HolderOf(const std::string& duty) const;
  // Times that a voter refused for a reason that an operator has to mend.
  std::uint64_t failures() const { return failures_; }
  fleet::SharedState& state() { return gossip_.state(); }
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
  std::string Holder() const;
  void HearOfLease(const fleet::FencedValue& fact);
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
