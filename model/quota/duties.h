// SPDX-License-Identifier: Apache-2.0
//
// Leases of the treasurers' duties as an all-knowing lease service would give them: exclusive in true time
// with no margin to spare, so that a draw that lasts longer than its lease is seen at once.
#ifndef BRACKENSPOKE_MODEL_QUOTA_DUTIES_H_
#define BRACKENSPOKE_MODEL_QUOTA_DUTIES_H_

#include <functional>
#include <optional>
#include <vector>

#include "fleet/lease/guard.h"
#include "model/world.h"

namespace brackenspoke::model {

class Duties {
 public:
  // `voters` are machines; a lease is taken or renewed only from where a majority of them can be reached.
  Duties(World& world, std::size_t count, std::vector<std::size_t> voters, Span term, Span drift)
      : world_(world), duties_(count), voters_(std::move(voters)), term_(term - drift) {}

  std::size_t count() const { return duties_.size(); }

  // The life `life` of a machine takes what is free and renews what it has. Some are left to others.
  void Try(std::size_t machine, std::uint64_t life) {
    if (!Majority(machine)) return;
    const Time now = world_.host(machine).Now();
    for (std::size_t i = 0; i < duties_.size(); ++i) {
      Duty& duty = duties_[i];
      const bool mine = duty.token > 0 && duty.machine == machine && duty.life == life && now < duty.deadline;
      const bool free = duty.token == 0 || world_.host(duty.machine).Now() >= duty.deadline;
      if (!mine && !free) continue;
      if (!mine) {
        duty.before = duty.token > 0 ? std::optional(duty.machine) : std::nullopt;
        duty.since = world_.now();
        duty.machine = machine;
        duty.life = life;
        ++duty.token;
      }
      duty.deadline = now + term_;
    }
  }

  std::optional<fleet::LeaseGuard> Guard(std::size_t machine, std::uint64_t life, std::size_t index) const {
    const Duty& duty = duties_[index];
    const bool mine = duty.token > 0 && duty.machine == machine && duty.life == life;
    if (!mine || world_.host(machine).Now() >= duty.deadline) return std::nullopt;
    return fleet::LeaseGuard(duty.token, duty.deadline);
  }

  // Whom the others take for the holder: it gets about within a fifth of a second.
  std::optional<std::size_t> Holder(std::size_t index) const {
    const Duty& duty = duties_[index];
    if (duty.token == 0) return std::nullopt;
    return world_.now() - duty.since < std::chrono::milliseconds(200) ? duty.before : duty.machine;
  }

 private:
  struct Duty {
    std::size_t machine = 0;
    std::uint64_t life = 0, token = 0;
    Time deadline;  // of its holder's clock
    Moment since{0};
    std::optional<std::size_t> before;
  };
  bool Majority(std::size_t machine) const {
    std::size_t reached = 0;
    for (const std::size_t voter : voters_)
      if (world_.program(voter) && (voter == machine || (world_.network().Connected(machine, voter) &&
                                                         world_.network().Connected(voter, machine))))
        ++reached;
    return reached > voters_.size() / 2;
  }

  World& world_;
  std::vector<Duty> duties_;
  std::vector<std::size_t> voters_;
  Span term_;
};

}  // namespace brackenspoke::model

#endif  // BRACKENSPOKE_MODEL_QUOTA_DUTIES_H_
