// SPDX-License-Identifier: Apache-2.0
//
// A member of the lease protocol as a program of the World. It announces its lease, acts while it holds the
// lease, and stores its votes on its machine's disk. All members of a run share a LeaseRun, in which they
// record violations of the safety properties.
#ifndef LOAD_BALANCER_MODEL_LEASE_MEMBER_H_
#define LOAD_BALANCER_MODEL_LEASE_MEMBER_H_

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet/lease/leases.h"
#include "model/fleet/votes.h"
#include "model/world.h"

namespace load_balancer::model {

class LeaseMember;

// The state that all members of a run share: configuration, protected resource and the results of the checks.
struct LeaseRun {
  std::chrono::milliseconds term{3000}, drift{100};
  std::vector<Endpoint> members;
  std::vector<std::vector<Endpoint>> voters;       // by member: configured voters of its next incarnation
  std::set<const FailureKind*> expected_failures;  // failures that members may report
  bool disks_survive = false;        // whether no disk is lost, so that each lease must have a larger token
  bool are_leases_announced = true;  // whether holders announce their leases to all members

  // The effect of an action. It lasts until `until` on the clock of its machine, even if the process crashes.
  struct Effect {
    const Host* host;
    fleet::FencingToken token;
    Time until;
  };
  std::vector<Effect> effects;

  std::vector<LeaseMember*> running_members;  // by index; null while the member is down
  fleet::Fence resource;
  fleet::FencingToken last_token = 0;        // token of the last action that the resource admitted
  fleet::FencingToken newest_token = 0;      // token of the last lease that was granted or renewed
  std::string last_writer;                   // holder that performed the last admitted action
  std::string newest_holder;                 // holder of the last lease that was granted or renewed
  std::uint64_t handovers = 0;               // number of times that a new holder or token appeared
  std::uint64_t admitted = 0, rejected = 0;  // number of actions that the resource admitted and rejected
  int incarnations = 0;                      // number of incarnations of all members
  std::optional<std::string> violation;      // the last violation of a safety property
};

// Runs Leases on a machine of the World.
class LeaseMember : public Program, private fleet::Leases::Callbacks {
 public:
  LeaseMember(Host& host, World& world, LeaseRun& run, std::size_t index);
  ~LeaseMember() override;

  void Receive(const Packet& packet) override;
  void Tick() override;
  Time Next() const override;

  // Releases the lease and requests none until Resume.
  void Release();
  // Requests leases again after Release.
  void Resume();
  // Returns whether this member may act, either by its lease or by a valid proof.
  bool IsActing() const;

 private:
  // A holder's announcement of its lease.
  struct Announcement {
    std::string holder;
    fleet::FencingToken token = 0;
    Span remaining{0};
  };

  void Send(const Endpoint& to, const fleet::LeaseMessage& message) override;
  void OnLeaseStatus(const std::string& lease_name, fleet::LeaseStatus status, fleet::FencingToken token,
                     Span remaining, std::string_view reason) override;
  void OnFailure(const Failure& failure) override;
  fleet::LeaseOptions Options();
  void Act(const fleet::LeaseProof& proof);

  Host& host_;
  World& world_;
  LeaseRun& run_;
  const std::size_t index_;
  const std::string holder_;
  DiskVotes votes_;
  fleet::Leases leases_;
  std::optional<fleet::LeaseProof> proof_;  // proof of the lease for the action in progress
  Time next_action_at_;  // when the action in progress reaches the resource or the next one starts
};

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_LEASE_MEMBER_H_
