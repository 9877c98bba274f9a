// SPDX-License-Identifier: Apache-2.0
//
// Changes the voters of members in service: restarts every member with the new set, one after another, each
// with its disk, as docs/leases.md says or as it forbids.
#ifndef LOAD_BALANCER_MODEL_LEASE_OPERATOR_H_
#define LOAD_BALANCER_MODEL_LEASE_OPERATOR_H_

#include <cstdint>
#include <random>
#include <vector>

#include "model/lease/member.h"
#include "model/world.h"

namespace load_balancer::model {

// kByRule: one voter more or less; then until somebody holds, and a term. kTwoAtOnce: two voters more, less
// or one for another, and the same wait. kNoWait: as the rule, but the next change begins at once;
// kTermAlone: a term later, though nobody has held under the new set.
enum class VoterChange { kNone, kByRule, kTwoAtOnce, kNoWait, kTermAlone };

class Operator {
 public:
  // All outlive this.
  Operator(World& world, Arena& arena, std::uint64_t seed, VoterChange how);

  // Changes again and again, and begins none after `until`.
  void Begin(Moment until);
  // Whether the last change is over, its wait, too.
  bool done() const { return done_; }

 private:
  void Change();
  std::vector<std::size_t> NextSet();
  void Restart(std::size_t nth);
  void Wait();
  void Next();
  bool Held() const;

  World& world_;
  Arena& arena_;
  const VoterChange how_;
  std::mt19937_64 random_;
  Moment until_{0}, pause_;
  std::vector<std::size_t> voters_, order_;  // members: the newest set, and all as they are restarted
  bool done_ = true;
};

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_LEASE_OPERATOR_H_
