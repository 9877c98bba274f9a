// SPDX-License-Identifier: Apache-2.0
//
// A member that holds leases, as a program of the World: it makes its lease known, acts while it holds it,
// and keeps its votes on its machine's disk. All members of a run share an Arena, which sees what goes wrong.
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

// The resource that is acted on, and the watch over who acts.
struct Arena {
  std::chrono::milliseconds term{3000}, drift{100};
  std::vector<Endpoint> members;
  std::vector<std::vector<Endpoint>> voters;  // as each member is configured for its next life
  std::set<const FailureKind*> expected;      // that members may complain of
  bool disks_last = false;                    // no disk is lost: tokens must grow from lease to lease
  bool told = true;                           // holders make their leases known

  // Of an act, until its machine's clock says so, whatever becomes of the process.
  struct Effect {
    const Host* host;
    fleet::FencingToken token;
    Time until;
  };
  std::vector<Effect> effects;

  std::vector<LeaseMember*> present;  // by index; null while down
  fleet::Fence resource;
  fleet::FencingToken written = 0, newest = 0;
  std::string writer, holder;
  std::uint64_t leases = 0, acts = 0, refused = 0;
  int lives = 0;
  std::optional<std::string> broken;
};

class LeaseMember : public Program, private fleet::Leases::Callbacks {
 public:
  LeaseMember(Host& host, World& world, Arena& arena, std::size_t index);
  ~LeaseMember() override;

  void Receive(const Packet& packet) override;
  void Tick() override;
  Time Next() const override;

  void GiveBack();
  void Resume();
  // By its clock, or by a proof that it has taken and that holds.
  bool Acts() const;

 private:
  // A holder's word of its lease.
  struct Word {
    std::string holder;
    fleet::FencingToken token = 0;
    Span left{0};
  };

  void Send(const Endpoint& to, const fleet::LeaseMessage& message) override;
  void OnLeaseStatus(const std::string& duty, fleet::LeaseStatus status, fleet::FencingToken token, Span left,
                     std::string_view why) override;
  void OnFailure(const Failure& failure) override;
  fleet::LeaseOptions Options();
  void Act(const fleet::LeaseProof& proof);

  Host& host_;
  World& world_;
  Arena& arena_;
  const std::size_t index_;
  const std::string holder_;
  DiskVotes votes_;
  fleet::Leases leases_;
  std::optional<fleet::LeaseProof> proof_;  // of the act under way
  Time act_at_;                             // when it reaches the resource, or the next one begins
};

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_LEASE_MEMBER_H_
