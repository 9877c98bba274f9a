// SPDX-License-Identifier: Apache-2.0
//
// Changes the set of voters of a running cluster. To do so, it restarts all members with the new set, one
// after another and each with its disk. It follows the rule of docs/leases.md or violates it deliberately.
#ifndef LOAD_BALANCER_MODEL_LEASE_OPERATOR_H_
#define LOAD_BALANCER_MODEL_LEASE_OPERATOR_H_

#include <cstdint>
#include <random>
#include <vector>

#include "model/lease/member.h"
#include "model/world.h"

namespace load_balancer::model {

// The way in which voters are changed.
enum class VoterChange {
  kNone,          ///< Voters are not changed.
  kOneAtATime,    ///< Adds or removes one voter. Then waits until some member holds the lease, and one more
                  ///< term.
  kTwoAtOnce,     ///< Adds, removes or exchanges two voters. Then waits like kOneAtATime.
  kWithoutWait,   ///< Adds or removes one voter. Begins the next change at once.
  kAfterOneTerm,  ///< Adds or removes one voter. Waits one term, but not until a member holds the lease.
};

// Changes the voters during one run.
class Operator {
 public:
  // `world` and `run` must outlive this object.
  Operator(World& world, LeaseRun& run, std::uint64_t seed, VoterChange change);

  // Changes the voters repeatedly, and begins no change after `until`.
  void Start(Moment until);
  // Returns whether the last change is complete, including the wait after it.
  bool is_done() const { return is_done_; }

 private:
  // Begins a change to another set of voters.
  void BeginChange();
  // Returns a random new set of voters. `change_` determines how the new set differs from the current one.
  std::vector<std::size_t> DrawVoters();
  // Restarts the members one after another, starting at `position` in restart_order_.
  void RestartFrom(std::size_t position);
  // Waits until the next change may begin.
  void AwaitNextChange();
  // Begins the next change, or finishes.
  void FinishChange();
  // Returns whether a member may act.
  bool HasHolder() const;

  World& world_;
  LeaseRun& run_;
  const VoterChange change_;
  std::mt19937_64 random_;
  Moment until_{0}, max_pause_;
  std::vector<std::size_t> voters_;         // members that are voters in the newest set
  std::vector<std::size_t> restart_order_;  // all members in the order of their restarts
  bool is_done_ = true;
};

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_LEASE_OPERATOR_H_
