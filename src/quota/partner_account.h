// SPDX-License-Identifier: Apache-2.0
//
// One partner's account at one gateway: the bucket, which follows the grant in force or the floor, and when
// to ask for another grant.
#ifndef LOAD_BALANCER_QUOTA_PARTNER_ACCOUNT_H_
#define LOAD_BALANCER_QUOTA_PARTNER_ACCOUNT_H_

#include <optional>

#include "base/time.h"
#include "quota/amount.h"
#include "quota/bucket.h"
#include "quota/budget.h"
#include "quota/demand_estimator.h"
#include "quota/messages.h"

namespace load_balancer::quota {

// The floor is in force from `from` on wherever no grant is.
struct FloorTerms {
  Part part;  // in use
  Part full;  // as the budgets have it; in use once all gateways have them
  Time from;
};

class PartnerAccount {
 public:
  // With an empty bucket at `since`, from which on the floor's terms hold; `since` may be past.
  PartnerAccount(Time since, const FloorTerms& floor, const Timings& timings);

  // What is in force: a grant, the floor, or nothing.
  enum class Source { kNone, kFloor, kGrant };

  bool Charge(Time now, Milli cost);
  void Credit(Time now, Time charged, Milli cost);
  // Until `cost` would fit as things are; nothing where neither floor nor grant is to come.
  std::optional<Span> Until(Time now, Milli cost);

  // Takes a grant in place of what is in force, unless it is no newer than one that was taken, or has ended.
  // From then on the floor is put away until the grant's end, also if another grant replaces it.
  bool Take(Time now, const Grant& grant, const GrantId& id, Time until);
  // The grant in force, for an ask or an ack; zero if there is none.
  Ack Held(Time now) const;

  // Other terms of the floor from `now` on. It stays put away as long as was promised.
  void SetFloor(Time now, const Part& part, const Part& full);
  void PutFloorAway(Time until) { floor_.from = std::max(floor_.from, until); }
  const FloorTerms& floor() const { return floor_; }

  // Whether it is time to ask. A shift of demand, up or down, is told at once; a gateway that has less than
  // it needs and no answer asks each Timings::ask; one that has a grant by its last ask renews it well before
  // the end, as an allocator that has more for it says so unasked.
  enum class Asking { kNo, kWithOthers, kNow };  // kWithOthers: soon, and now if a message goes anyway
  Asking WantsToAsk(Time now);
  // What the ask says. Counts as made.
  Ask MakeAsk(Time now);
  // The allocator wants to be asked.
  void Call() { called_ = true; }
  // There is nothing to look after until the next charge or call.
  bool Idle(Time now);

  Source SourceAt(Time now) const;
  Part InForce(Time now) const;
  Milli Wanted(Time now) { return demand_.Estimate(now); }

 private:
  // Brings the bucket to `now` through the changes that came due.
  void Settle(Time now);
  void Follow(Time at);

  const Timings* timings_;
  FloorTerms floor_;
  Part grant_;
  GrantId id_;  // of the newest grant taken
  Time grant_until_ = Time::min();
  Bucket bucket_;
  Demand demand_;
  bool called_ = false, answered_ = false;  // answered_: a grant was taken since the last ask
  Time asked_at_ = Time::min();
  Milli asked_for_ = 0;
};

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_PARTNER_ACCOUNT_H_
