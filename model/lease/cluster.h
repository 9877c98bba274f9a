// SPDX-License-Identifier: Apache-2.0
//
// A cluster of three members that run the real Leases. Each member has a clock and a disk, and all act on one
// protected resource. A search chooses the steps that the cluster takes in virtual time.
//
// A message may be delivered at any later step or never, and it may be delivered several times as a fault.
// This covers lost, late, duplicated and reordered messages. A member whose timers are not processed is
// stalled. Denials are dropped: they only influence when a member sends its next request, and the search
// explores all such times anyway.
#ifndef LOAD_BALANCER_MODEL_LEASE_CLUSTER_H_
#define LOAD_BALANCER_MODEL_LEASE_CLUSTER_H_

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fleet/lease/leases.h"

namespace load_balancer::model {

inline constexpr std::size_t kClusterMembers = 3;

// A step of the cluster. The operand is an amount of time, the index of a pending message or the index of a
// member, depending on the kind.
struct Step {
  enum class Kind : std::uint8_t {
    kAdvanceTime,         ///< True time advances by `operand` * 3 s.
    kDeliver,             ///< Message `operand` is delivered.
    kDeliverCopy,         ///< Message `operand` is delivered and remains pending.
    kDrop,                ///< Message `operand` is dropped. Only used to build initial states.
    kTick,                ///< Member `operand` processes its timers.
    kTakeProof,           ///< Member `operand` obtains a proof of its lease.
    kAct,                 ///< The action for which member `operand` has a proof reaches the resource.
    kRelease,             ///< Member `operand` releases its leases.
    kResume,              ///< Member `operand` requests leases again.
    kRestart,             ///< Member `operand` crashes and restarts with its disk.
    kRestartWithoutDisk,  ///< Member `operand` crashes and restarts, and its disk is lost.
  };
  Kind kind = Kind::kAdvanceTime;
  std::uint8_t operand = 0;
};

// Configuration of a cluster and limits of the search.
struct ClusterOptions {
  // Rates of the members' clocks, in sixths of the rate of true time. They are within the drift bound, which
  // is a sixth of the term.
  std::array<int, kClusterMembers> clock_rates{5, 7, 6};
  std::chrono::milliseconds term{36000}, drift{6000};
  std::chrono::milliseconds first_term{36000};  // lease term of member 0
  // Whether the members start with disks that hold no vote, instead of without disks.
  bool has_initial_disks = true;
  // If false, the wall clocks show constant times, which differ between members.
  bool are_wall_clocks_running = true;
  // Maximum total number of restarts, releases and duplicated messages on one path of the search.
  int max_faults = 2;
  // Maximum number of proofs of a lease that members obtain on one path of the search for a later action.
  int max_proofs = 1;
};

// The state of the cluster.
class LeaseCluster {
 public:
  explicit LeaseCluster(const ClusterOptions& options);
  LeaseCluster(const LeaseCluster&) = delete;
  LeaseCluster& operator=(const LeaseCluster&) = delete;

  // Returns the steps that are possible now.
  std::vector<Step> EnabledSteps() const;
  // Performs a step.
  void Apply(const Step& step);
  // Describes a step. Must be called before Apply, while the step's message is still pending.
  std::string Describe(const Step& step) const;

  // Returns a description of the violated safety property, or nothing if there is none. A property is
  // violated if two members act at once, two members use one token, or the resource admits an action that it
  // must reject.
  std::optional<std::string> FindViolation() const;
  // Returns a hash (xxHash) that is equal for clusters with equal future behaviour.
  std::uint64_t Fingerprint() const;

 private:
  // A message that was sent and may still be delivered.
  struct PendingMessage {
    std::size_t from, to;
    fleet::LeaseMessage message;
  };
  // One member with its disk. It receives the callbacks of its Leases.
  struct Member : fleet::Leases::Callbacks, fleet::VoteStore {
    void Send(const fleet::Leases::Endpoint& to, const fleet::LeaseMessage& message) override;
    void OnLeaseStatus(const std::string&, fleet::LeaseStatus status, fleet::FencingToken token, Span,
                       std::string_view) override;
    void OnFailure(const Failure&) override {}
    bool Save(const fleet::StoredVotes& votes) override;

    LeaseCluster* cluster = nullptr;
    std::size_t index = 0;
    int incarnation = 0;
    bool is_released = false;
    std::optional<fleet::StoredVotes> disk;
    std::unique_ptr<fleet::Leases> leases;
    std::optional<fleet::LeaseProof> proof;  // proof for an action that has not reached the resource yet
  };

  // Starts an incarnation of the member.
  void StartMember(std::size_t index);
  // Returns the time by the member's monotonic clock.
  Time ClockOf(std::size_t index) const;
  // Returns the time by the member's wall clock, in ms.
  std::uint64_t WallClockOf(std::size_t index) const;
  // Delivers the member's action to the resource.
  void Act(std::size_t index);
  // Returns whether the member may act, either by its lease or by a valid proof.
  bool IsActing(std::size_t index) const;

  const ClusterOptions options_;
  std::int64_t elapsed_units_ = 0;  // true time since the start, in units of 3 s
  int faults_ = 0, proofs_ = 0;
  std::array<Member, kClusterMembers> members_;
  std::vector<PendingMessage> pending_messages_;
  fleet::Fence resource_;
  fleet::FencingToken last_token_ = 0;           // token of the last action that the resource admitted
  std::size_t last_writer_ = kClusterMembers;    // member that performed that action
  fleet::FencingToken newest_token_ = 0;         // token of the last lease that was granted or renewed
  std::size_t newest_holder_ = kClusterMembers;  // holder of that lease
  std::optional<std::string> violation_;         // the violation found by Act or by a change of a lease
};

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_LEASE_CLUSTER_H_
