// SPDX-License-Identifier: Apache-2.0
//
// One partner's budget at its allocator: the gateways' demand, and which grants to issue.
#ifndef LOAD_BALANCER_QUOTA_PARTNER_ALLOCATOR_H_
#define LOAD_BALANCER_QUOTA_PARTNER_ALLOCATOR_H_

#include <map>
#include <vector>

#include "quota/commitments.h"
#include "quota/division.h"
#include "quota/messages.h"

namespace load_balancer::quota {

// A grant, and the process that it is for.
struct IssuedGrant {
  GatewayId gateway = 0;
  std::uint64_t life = 0;  // of the gateway's process
  Grant grant;             // without the partner's name
};

// Divides one budget. All times are of the allocator's monotonic clock.
class PartnerAllocator {
 public:
  explicit PartnerAllocator(const Timings& timings);

  // A gateway's process asks for a grant in its request `number`.
  void OnAsk(Time now, GatewayId gateway, std::uint64_t life, std::uint64_t number, const Ask& ask);
  // A gateway's process has put a grant in force.
  void OnAck(Time now, GatewayId gateway, std::uint64_t life, const Ack& ack);
  // The demand of a gateway according to a ledger, which counts until the gateway asks.
  void Expect(Time now, GatewayId gateway, Milli demand);

  // The grants to issue now: one for each unanswered ask, and another one where a gateway's grant is less
  // than its part, or more than it while others lack some. None lasts beyond `deadline`. `last` is the id of
  // the last grant that was issued, and is advanced.
  std::vector<IssuedGrant> IssueGrants(Time now, Time deadline, const Budget& budget, const Floors& floors,
                                       GrantId* last);
  // Gateways that should ask, because their floor is wanted elsewhere and not lent for long. Call it after
  // IssueGrants.
  std::vector<GatewayId> Calls(Time now, const Gateways& gateways, const Floors& floors);
  // When to issue grants again without an event; Time::max(): never.
  Time due() const { return due_; }

  const Commitments& commitments() const { return commitments_; }
  // The demand of the gateways that asked recently.
  std::map<GatewayId, Milli> Demand(Time now) const;

 private:
  struct Asker {
    std::uint64_t life = 0, number = 0;
    Time at;  // the ask's receipt
    Milli demand = 0, least = 0;
    bool answered = false;
    Time turn_until = Time::min();
  };
  void Target(Time now, const Budget& budget, const Floors& floors);
  // The part and the end that fit beside what all others may have by `sums`, the slots from `now` on.
  std::pair<Part, Time> Fit(Time now, Time most, GatewayId gateway, std::uint64_t life, Milli rate,
                            const Budget& budget, const Part& floor, const std::vector<Part>& sums) const;
  // Who is to get another grant, those first whose part shrinks the most.
  std::vector<GatewayId> Due() const;
  Milli Has(GatewayId gateway, const Asker& asker) const;
  void Add(Time now, GatewayId gateway, const Outstanding& grant, const Part& floor, std::vector<Part>* sums);
  void Schedule(Time now);

  const Timings* timings_;
  Commitments commitments_;
  std::map<GatewayId, Asker> askers_;
  std::map<GatewayId, std::pair<Milli, Time>> expected_;  // demand, and until when
  std::map<GatewayId, Milli> targets_;
  bool short_ = false;  // demand is more than there is
  bool waits_ = false;  // a gateway gets its part only when another has given it back
  std::map<GatewayId, Time> called_;
  Time issued_at_ = Time::min();
  Time due_ = Time::max();
};

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_PARTNER_ALLOCATOR_H_
