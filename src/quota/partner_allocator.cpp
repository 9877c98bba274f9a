// SPDX-License-Identifier: Apache-2.0
#include "quota/partner_allocator.h"

#include <algorithm>

namespace load_balancer::quota {
namespace {

using std::chrono::milliseconds;

constexpr int kSlots = 16;  // of a grant's life
// Between two handings out at least: the first, and more for each that asks, as each costs time for all.
constexpr Span kPause = milliseconds(10), kPauseEach = std::chrono::microseconds(50);

// The rate whose part of the burst is at least `depth`.
Milli RateFor(const Budget& budget, Milli depth) {
  depth = std::min(depth, budget.burst);
  return std::min(budget.rate, (depth * budget.rate + budget.burst - 1) / budget.burst);
}

// The largest rate that fits into the room by itself and by its depth.
Milli RateWithin(const Budget& budget, const Part& room) {
  const Part within{std::max<Milli>(room.rate, 0), std::clamp<Milli>(room.depth, 0, budget.burst)};
  return std::min(within.rate, within.depth * budget.rate / budget.burst);
}

}  // namespace

PartnerAllocator::PartnerAllocator(const Timings& timings)
    : timings_(&timings), commitments_(timings.grant_life / kSlots, timings.Apart()) {}

void PartnerAllocator::Schedule(Time now) {
  const Time least = issued_at_ == Time::min()
                         ? now
                         : std::max(now, issued_at_ + kPause + static_cast<int>(askers_.size()) * kPauseEach);
  due_ = std::min(due_, least);
}

void PartnerAllocator::OnAsk(Time now, GatewayId gateway, std::uint64_t life, std::uint64_t number,
                             const Ask& ask) {
  Asker& asker = askers_[gateway];
  if (asker.life == life && number <= asker.number) return;
  asker.life = life;
  asker.number = number;
  asker.at = now;
  asker.demand = ask.demand;
  asker.least = ask.least;
  asker.answered = false;
  expected_.erase(gateway);
  Schedule(now);
}

void PartnerAllocator::OnAck(Time now, GatewayId gateway, std::uint64_t life, const Ack& ack) {
  commitments_.Acknowledge(gateway, life, ack.grant, milliseconds(ack.away_ms));
  if (waits_) Schedule(now);
}

void PartnerAllocator::Expect(Time now, GatewayId gateway, Milli demand) {
  if (!askers_.contains(gateway)) expected_[gateway] = {demand, now + 2 * timings_->ask};
}

std::map<GatewayId, Milli> PartnerAllocator::Demand(Time now) const {
  std::map<GatewayId, Milli> demand;
  for (const auto& [gateway, asker] : askers_)
    if (asker.demand > 0 && now - asker.at < timings_->grant_life) demand[gateway] = asker.demand;
  return demand;
}

// Divides what neither floors nor grants of those that do not ask take now. While there is enough for all,
// each keeps its floor.
void PartnerAllocator::Target(Time now, const Budget& budget, const Floors& floors) {
  std::vector<GatewayId> who;
  std::vector<Claim> claims;
  Milli capacity = budget.rate - commitments_.Sums(now, now + Span(1), floors).front().rate;
  Milli demand = 0, with_floors = 0;
  const auto claim = [&](GatewayId gateway, Milli wanted, Milli least, Time turn_until) {
    const Part floor = floors.Of(gateway);
    who.push_back(gateway);
    claims.push_back({wanted, floor.rate, RateFor(budget, std::max(least, kOne)), turn_until});
    capacity += commitments_.At(gateway, now, floor).rate;
    demand += wanted;
    with_floors += std::max(wanted, floor.rate);
  };
  for (const auto& [gateway, asker] : askers_) claim(gateway, asker.demand, asker.least, asker.turn_until);
  for (const auto& [gateway, expected] : expected_) claim(gateway, expected.first, 0, Time::min());
  short_ = demand > capacity;
  if (with_floors <= capacity)
    for (Claim& one : claims) one.demand = std::max(one.demand, one.floor);
  const std::vector<Milli> parts = quota::Divide(capacity, claims, now);
  targets_.clear();
  for (std::size_t i = 0; i < who.size(); ++i) {
    targets_[who[i]] = parts[i];
    const auto asker = askers_.find(who[i]);
    const bool turn = asker != askers_.end() && parts[i] > 0 && parts[i] <= claims[i].least;
    if (turn && asker->second.turn_until <= now) asker->second.turn_until = now + timings_->grant_life;
  }
}

std::pair<Part, Time> PartnerAllocator::Fit(Time now, Time most, GatewayId gateway, std::uint64_t life,
                                            Milli rate, const Budget& budget, const Part& floor,
                                            const std::vector<Part>& sums) const {
  // A quarter of a life is enough to renew in; beyond it, as far as the rate holds.
  const Time enough = std::min(most, now + timings_->grant_life / 4);
  Time begin = commitments_.SlotBegin(now);
  for (const Part& sum : sums) {
    if (begin >= most) break;
    const Part others =
        sum - commitments_.At(gateway, begin, floor) + commitments_.Others(gateway, begin, life);
    const Milli fits = RateWithin(budget, Part{budget.rate, budget.burst} - others);
    if (fits < rate && begin >= enough) return {PartOf(budget, rate), begin};
    rate = std::min(rate, fits);
    begin += commitments_.slot();
  }
  return {PartOf(budget, rate), most};
}

Milli PartnerAllocator::Has(GatewayId gateway, const Asker& asker) const {
  const Outstanding* newest = commitments_.Newest(gateway, asker.life);
  return newest ? newest->part.rate : 0;
}

std::vector<GatewayId> PartnerAllocator::Due() const {
  // Differences of a sixteenth are left until the next ask.
  const auto less = [](Milli a, Milli b) { return a + b / 16 + 1 < b; };
  bool lacking = short_;
  for (const auto& [gateway, asker] : askers_)
    lacking = lacking || less(Has(gateway, asker), std::min(asker.demand, targets_.at(gateway)));
  std::vector<std::pair<Milli, GatewayId>> due;
  for (const auto& [gateway, asker] : askers_) {
    const Milli has = Has(gateway, asker), target = targets_.at(gateway);
    const bool apart = lacking && (less(has, target) || less(target, has));
    if (!asker.answered || apart) due.emplace_back(target - has, gateway);
  }
  std::sort(due.begin(), due.end());
  std::vector<GatewayId> gateways;
  for (const auto& [change, gateway] : due) gateways.push_back(gateway);
  return gateways;
}

void PartnerAllocator::Add(Time now, GatewayId gateway, const Outstanding& grant, const Part& floor,
                           std::vector<Part>* sums) {
  Time begin = commitments_.SlotBegin(now);
  std::vector<Part> before;
  for (std::size_t i = 0; i < sums->size(); ++i)
    before.push_back(commitments_.At(gateway, begin + static_cast<int>(i) * commitments_.slot(), floor));
  commitments_.Add(gateway, grant);
  for (Part& sum : *sums) {
    sum =
        sum + commitments_.At(gateway, begin, floor) - before[static_cast<std::size_t>(&sum - sums->data())];
    begin += commitments_.slot();
  }
}

std::vector<IssuedGrant> PartnerAllocator::IssueGrants(Time now, Time deadline, const Budget& budget,
                                                       const Floors& floors, GrantId* last) {
  commitments_.Prune(now);
  std::erase_if(askers_, [&](const auto& entry) { return now - entry.second.at >= timings_->grant_life; });
  std::erase_if(expected_, [&](const auto& entry) { return entry.second.second <= now; });
  issued_at_ = now;
  waits_ = false;
  Target(now, budget, floors);
  std::vector<Part> sums = commitments_.Sums(now, now + timings_->grant_life + timings_->Apart(), floors);
  std::vector<IssuedGrant> issued;
  for (const GatewayId gateway : Due()) {
    Asker& asker = askers_[gateway];
    const Part floor = floors.Of(gateway);
    const Milli target = targets_[gateway];
    const auto [part, end] = Fit(now, std::min(asker.at + timings_->grant_life + timings_->Apart(), deadline),
                                 gateway, asker.life, target, budget, floor, sums);
    waits_ = waits_ || part.rate < target;
    if (part.rate < std::min(target, RateFor(budget, std::max(asker.least, kOne)))) continue;
    const auto life = std::chrono::floor<milliseconds>(end - timings_->Apart() - asker.at);
    const Time until = asker.at + life + timings_->Apart();
    const Outstanding* newest = commitments_.Newest(gateway, asker.life);
    if (asker.answered && newest && newest->part == part && newest->until >= until) continue;
    if (asker.at + life <= now) continue;
    ++last->number;
    Add(now, gateway, {asker.life, *last, part, now, until}, floor, &sums);
    asker.answered = true;
    issued.push_back({gateway,
                      asker.life,
                      {"", asker.number, last->number, part, static_cast<std::uint64_t>(life.count())}});
  }
  // Short of budget, turns end, floors are to be called, and what others do not renew comes back.
  due_ = waits_ ? now + commitments_.slot() : short_ ? now + timings_->ask : Time::max();
  return issued;
}

std::vector<GatewayId> PartnerAllocator::Calls(Time now, const Gateways& gateways, const Floors& floors) {
  std::vector<GatewayId> calls;
  if (!short_ || floors.total().rate == 0) return calls;
  for (GatewayId gateway = 0; gateway < gateways.size(); ++gateway) {
    if (floors.Of(gateway).rate == 0 || commitments_.lent_until(gateway) > now + timings_->grant_life / 2)
      continue;
    const auto asker = askers_.find(gateway);
    if (asker != askers_.end() && now - asker->second.at < timings_->ask) continue;
    const auto called = called_.find(gateway);
    if (called != called_.end() && now - called->second < timings_->ask) continue;
    called_[gateway] = now;
    calls.push_back(gateway);
  }
  return calls;
}

}  // namespace load_balancer::quota
