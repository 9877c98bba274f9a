// SPDX-License-Identifier: Apache-2.0
//
// One partner's budget at its treasurer: who wants how much of it, and which draws to hand out.
#ifndef BRACKENSPOKE_QUOTA_PARTNER_TREASURY_H_
#define BRACKENSPOKE_QUOTA_PARTNER_TREASURY_H_

#include <map>
#include <vector>

#include "quota/commitments.h"
#include "quota/division.h"
#include "quota/messages.h"

namespace brackenspoke::quota {

// One handing out.
struct Handed {
  GatewayId gateway = 0;
  std::uint64_t life = 0;
  Draw draw;  // without the partner's name
};

// All moments are of the treasurer's clock.
class PartnerTreasury {
 public:
  explicit PartnerTreasury(const Timings& timings);

  void OnAsk(Time now, GatewayId gateway, std::uint64_t life, std::uint64_t number, const Ask& ask);
  void OnAck(Time now, GatewayId gateway, std::uint64_t life, const Ack& ack);
  // The demand of a gateway by a ledger, until it asks itself.
  void Expect(Time now, GatewayId gateway, Milli demand);

  // What to hand out now: an answer to each ask that has none, and another draw where an answered one is more
  // than the gateway's part while others lack some, or less. None lasts beyond `deadline`. `last` is the id
  // of the last draw.
  std::vector<Handed> HandOut(Time now, Time deadline, const Budget& budget, const Floors& floors,
                              DrawId* last);
  // Gateways whose floor is wanted elsewhere and not lent for long. To be asked for after HandOut.
  std::vector<GatewayId> Calls(Time now, const Gateways& gateways, const Floors& floors);
  // When to hand out again though nothing came in; Time::max(): never.
  Time due() const { return due_; }

  const Commitments& commitments() const { return commitments_; }
  // Of those that asked lately.
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
  // Who is to get another draw, those first whose part shrinks the most.
  std::vector<GatewayId> Due() const;
  Milli Has(GatewayId gateway, const Asker& asker) const;
  void Add(Time now, GatewayId gateway, const Outstanding& draw, const Part& floor, std::vector<Part>* sums);
  void Schedule(Time now);

  const Timings* timings_;
  Commitments commitments_;
  std::map<GatewayId, Asker> askers_;
  std::map<GatewayId, std::pair<Milli, Time>> expected_;  // demand, and until when
  std::map<GatewayId, Milli> targets_;
  bool short_ = false;  // demand is more than there is
  bool waits_ = false;  // a gateway gets its part only when another has given it back
  std::map<GatewayId, Time> called_;
  Time handed_out_ = Time::min();
  Time due_ = Time::max();
};

}  // namespace brackenspoke::quota

#endif  // BRACKENSPOKE_QUOTA_PARTNER_TREASURY_H_
