// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// A node's part in the leases of its fleet's duties: its votes, its roles, and the announcement of the
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

class LeaseParticipant : private Leases::Callbacks {
 public:
  /// Called from within the calls below.
  class Host {
   public:
    virtual ~Host() = default;
    virtual void SendLease(const Udp::endpoint& to, const LeaseMessage& message) = 0;
    /// Publishes a value under a lease for `lifetime`. Fails with kLeaseExpired.
    virtual Result<void> Publish(const LeaseProof& proof, const std::string& key, nlohmann::json value,
                                 Span lifetime) = 0;
  };

  /// All arguments outlive this.
  LeaseParticipant(const FleetSection& section, const std::string& name, std::uint64_t seed,
                   const NodeOptions& options, FleetListener& listener, Host& host)
      : section_(section), name_(name), seed_(seed), options_(options), listener_(listener), host_(host) {}

  /// Whether the fleet's duties have leases; without leases each process performs each duty.
  bool has_leases() const { return section_.lease_term.count() > 0; }
  /// Takes part from now on, if there are leases. To be called once the process has its address, since a
  /// former process with the same votes does not vote any more then.
  void Start(std::uint64_t incarnation);
  /// Gives leases back and asks for none until Resume.
  void Release();
  void Resume();
  void Receive(const Udp::endpoint& from, const LeaseMessage& message);
  void Tick();
  /// When Tick is due.
  Time Next() const;

  /// Takes the announcement of another holder. False if the value is something else.
  bool ReceiveAnnouncement(const FencedValue& fenced);

  /// The highest token known of each duty; empty before Start.
  std::map<std::string, FencingToken> HighestTokens() const;
  /// Makes the next tokens higher than these.
  void RaiseTokens(const std::map<std::string, FencingToken>& tokens);

  /// See the functions of the same names in Node.
  bool IsResponsibleFor(const std::string& duty) const;
  std::optional<LeaseProof> ProveLease(const std::string& duty) const;
  bool IsFollowerOf(const std::string& duty) const;
  FencingToken HeldToken(const std::string& duty) const;
  std::string HolderOf(const std::string& duty) const;
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
  std::string holder_;  // this process's name as a holder, different in each of its incarnations
  std::unique_ptr<VoteFile> vote_file_;
  std::optional<Leases> leases_;  // once started
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_NODE_LEASE_PARTICIPANT_H_
