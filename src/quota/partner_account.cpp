// SPDX-License-Identifier: Apache-2.0
#include "quota/partner_account.h"

#include <algorithm>

namespace brackenspoke::quota {

PartnerAccount::PartnerAccount(Time since, const FloorTerms& floor, const Timings& timings)
    : timings_(&timings), floor_(floor), bucket_(since) {
  Follow(since);
}

PartnerAccount::Source PartnerAccount::SourceAt(Time now) const {
  if (now < draw_until_) return Source::kDraw;
  return now >= floor_.from && floor_.part.rate > 0 ? Source::kFloor : Source::kNone;
}

Part PartnerAccount::InForce(Time now) const {
  switch (SourceAt(now)) {
    case Source::kDraw:
      return draw_;
    case Source::kFloor:
      return floor_.part;
    case Source::kNone:
      break;
  }
  return {};
}

void PartnerAccount::Follow(Time at) {
  const Part part = InForce(at);
  bucket_.Set(at, {SlowedRate(part.rate, *timings_), part.depth});
}

void PartnerAccount::Settle(Time now) {
  const auto [first, second] = std::minmax(draw_until_, floor_.from);
  for (const Time change : {first, second})
    if (change > bucket_.last() && change <= now) Follow(change);
}

bool PartnerAccount::Charge(Time now, Milli cost) {
  now = std::max(now, bucket_.last());
  Settle(now);
  demand_.Add(now, cost);
  return bucket_.Charge(now, cost);
}

void PartnerAccount::Credit(Time now, Time charged, Milli cost) {
  Settle(now);
  bucket_.Credit(now, charged, cost);
}

std::optional<Span> PartnerAccount::Until(Time now, Milli cost) {
  Settle(now);
  if (const auto fits = bucket_.Until(now, cost)) return fits;
  const Milli rate = SlowedRate(floor_.part.rate, *timings_);
  if (floor_.from <= now || rate <= 0 || cost > floor_.part.depth) return std::nullopt;
  return floor_.from - now + std::chrono::nanoseconds(cost * 1'000'000 / rate * 1'000);
}

bool PartnerAccount::Take(Time now, const Draw& draw, const DrawId& id, Time until) {
  if (id <= id_ || until <= now) return false;
  Settle(now);
  draw_ = draw.part;
  id_ = id;
  draw_until_ = until;
  answered_ = true;
  PutFloorAway(until);
  Follow(now);
  return true;
}

Ack PartnerAccount::Held(Time now) const {
  if (now >= draw_until_) return {};
  const auto left = std::chrono::floor<std::chrono::milliseconds>(draw_until_ - now);
  return {"", id_, static_cast<std::uint64_t>(left.count())};
}

void PartnerAccount::SetFloor(Time now, const Part& part, const Part& full) {
  Settle(now);
  floor_.part = part;
  floor_.full = full;
  Follow(now);
}

PartnerAccount::Asking PartnerAccount::WantsToAsk(Time now) {
  if (called_) return Asking::kNow;
  // Before the first ask the bounds are far enough apart for their difference to overflow.
  const Span since = asked_at_ == Time::min() ? timings_->draw : now - asked_at_;
  if (since < Demand::kBin) return Asking::kNo;
  const Milli demand = demand_.Estimate(now);
  const Milli slack = asked_for_ / 4 + 2 * demand_.Largest(now);
  const bool drawn = now < draw_until_;
  if (drawn && (std::abs(demand - asked_for_) > slack || (demand == 0) != (asked_for_ == 0)))
    return Asking::kNow;
  if (demand == 0 || since < timings_->ask) return Asking::kNo;
  if (InForce(now).rate < demand && !(drawn && answered_)) return Asking::kNow;
  if (!drawn) return Asking::kNo;
  const Span left = draw_until_ - now;
  if (left < timings_->draw * 5 / 8) return Asking::kNow;
  return left < timings_->draw * 7 / 8 ? Asking::kWithOthers : Asking::kNo;
}

Ask PartnerAccount::MakeAsk(Time now) {
  called_ = answered_ = false;
  asked_at_ = now;
  asked_for_ = demand_.Estimate(now);
  return {Held(now), std::min(asked_for_, kMostRate), std::min(demand_.Largest(now), kMostBurst)};
}

bool PartnerAccount::Idle(Time now) { return !called_ && now >= draw_until_ && demand_.Estimate(now) == 0; }

}  // namespace brackenspoke::quota
