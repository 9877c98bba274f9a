// SPDX-License-Identifier: Apache-2.0
#include "quota/partner_account.h"

#include <algorithm>

namespace load_balancer::quota {

PartnerAccount::PartnerAccount(Time since, const FloorTerms& floor, const Timings& timings)
    : timings_(&timings), floor_(floor), bucket_(since) {
  Follow(since);
}

PartnerAccount::Source PartnerAccount::SourceAt(Time now) const {
  if (now < grant_until_) return Source::kGrant;
  return now >= floor_.from && floor_.part.rate > 0 ? Source::kFloor : Source::kNone;
}

Part PartnerAccount::InForce(Time now) const {
  switch (SourceAt(now)) {
    case Source::kGrant:
      return grant_;
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
  const auto [first, second] = std::minmax(grant_until_, floor_.from);
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

bool PartnerAccount::Take(Time now, const Grant& grant, const GrantId& id, Time until) {
  if (id <= id_ || until <= now) return false;
  Settle(now);
  grant_ = grant.part;
  id_ = id;
  grant_until_ = until;
  answered_ = true;
  PutFloorAway(until);
  Follow(now);
  return true;
}

Ack PartnerAccount::Held(Time now) const {
  if (now >= grant_until_) return {};
  const auto left = std::chrono::floor<std::chrono::milliseconds>(grant_until_ - now);
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
  const Span since = asked_at_ == Time::min() ? timings_->grant_life : now - asked_at_;
  if (since < Demand::kBin) return Asking::kNo;
  const Milli demand = demand_.Estimate(now);
  const Milli slack = asked_for_ / 4 + 2 * demand_.Largest(now);
  const bool granted = now < grant_until_;
  if (granted && (std::abs(demand - asked_for_) > slack || (demand == 0) != (asked_for_ == 0)))
    return Asking::kNow;
  if (demand == 0 || since < timings_->ask) return Asking::kNo;
  if (InForce(now).rate < demand && !(granted && answered_)) return Asking::kNow;
  if (!granted) return Asking::kNo;
  const Span left = grant_until_ - now;
  if (left < timings_->grant_life * 5 / 8) return Asking::kNow;
  return left < timings_->grant_life * 7 / 8 ? Asking::kWithOthers : Asking::kNo;
}

Ask PartnerAccount::MakeAsk(Time now) {
  called_ = answered_ = false;
  asked_at_ = now;
  asked_for_ = demand_.Estimate(now);
  return {Held(now), std::min(asked_for_, kMostRate), std::min(demand_.Largest(now), kMostBurst)};
}

bool PartnerAccount::Idle(Time now) { return !called_ && now >= grant_until_ && demand_.Estimate(now) == 0; }

}  // namespace load_balancer::quota
