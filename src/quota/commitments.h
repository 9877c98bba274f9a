// SPDX-License-Identifier: Apache-2.0
//
// What each gateway may have in force of one budget, now and until the last grant that is out has ended, and
// so how much more can be handed out. Nothing is counted as back before it is sure to be.
#ifndef LOAD_BALANCER_QUOTA_COMMITMENTS_H_
#define LOAD_BALANCER_QUOTA_COMMITMENTS_H_

#include <cstdint>
#include <map>
#include <vector>

#include "base/time.h"
#include "quota/messages.h"
#include "quota/reserved_minimums.h"

namespace load_balancer::quota {

// A grant that may be in force at its gateway.
struct Outstanding {
  std::uint64_t life = 0;  // of the gateway's process
  GrantId id;
  Part part;
  Time sent;   // or a moment before
  Time until;  // by when it has ended for certain
};

// All moments are of the allocator's clock; `apart`: by how much another's may differ over a grant's life.
class Commitments {
 public:
  Commitments(Span slot, Span apart) : slot_(slot), apart_(apart) {}

  void Add(GatewayId gateway, const Outstanding& grant);
  // The gateway has taken the grant: those before it of the same life are over, and its floor is away for
  // `away` from then, which was after the grant was sent. Unknown grants change nothing.
  void Acknowledge(GatewayId gateway, std::uint64_t life, const GrantId& id, Span away);
  // Forgets what has ended.
  void Prune(Time now);

  // What the gateway may have in force in the slot of `at`.
  Part At(GatewayId gateway, Time at, const Part& floor) const;
  // The same of its processes other than this life.
  Part Others(GatewayId gateway, Time at, std::uint64_t life) const;
  Time lent_until(GatewayId gateway) const;
  // The newest grant to this life that has not ended; null: none.
  const Outstanding* Newest(GatewayId gateway, std::uint64_t life) const;
  // By when all grants have ended; `now` if there are none.
  Time LastEnd(Time now) const;

  // The sums of At over all gateways in each slot that begins before `end`, from the one of `now` on.
  std::vector<Part> Sums(Time now, Time end, const Floors& floors) const;
  Span slot() const { return slot_; }
  Time SlotBegin(Time at) const {
    return Time(slot_ * ((at.time_since_epoch() - kEarliest) / slot_) + kEarliest);
  }

 private:
  struct Held {
    std::vector<Outstanding> grants;
    Time lent_until = Time::min();
  };
  static Part Granted(const Held& held, Time begin, const std::uint64_t* but);
  Part In(const Held& held, Time begin, const Part& floor) const;
  // In has the same value for all slots that begin from `begin` to before this.
  Time Change(const Held& held, Time begin) const;

  static constexpr Span kEarliest = Time::min().time_since_epoch() / 2;  // before all moments

  Span slot_, apart_;
  std::map<GatewayId, Held> held_;
};

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_COMMITMENTS_H_
