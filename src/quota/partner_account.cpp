// SPDX-License-Identifier: Apache-2.0
#include "quota/partner_account.h"

#include <algorithm>

namespace load_balancer::quota {

PartnerAccount::PartnerAccount(Time since, const ReservedMinimumTerms& minimum, const Timings& timings)
    : timings_(&timings), minimum_(minimum), bucket_(since) {
  UpdateBucket(since);
}

PartnerAccount::Source PartnerAccount::SourceAt(Time now) const {
  if (now < grant_expires_at_) return Source::kGrant;
  const bool has_minimum = now >= minimum_.available_from && minimum_.usable.rate > 0;
  return has_minimum ? Source::kReservedMinimum : Source::kNone;
}

Allocation PartnerAccount::InForce(Time now) const {
  switch (SourceAt(now)) {
    case Source::kGrant:
      return grant_;
    case Source::kReservedMinimum:
      return minimum_.usable;
    case Source::kNone:
      break;
  }
  return {};
}

void PartnerAccount::UpdateBucket(Time at) {
  const Allocation allocation = InForce(at);
  bucket_.SetAllocation(at, {SlowedRate(allocation.rate, *timings_), allocation.depth});
}

void PartnerAccount::Advance(Time now) {
  const auto [first, second] = std::minmax(grant_expires_at_, minimum_.available_from);
  for (const Time change : {first, second})
    if (change > bucket_.last_update() && change <= now) UpdateBucket(change);
}

bool PartnerAccount::Charge(Time now, MilliUnits cost) {
  now = std::max(now, bucket_.last_update());
  Advance(now);
  demand_.Add(now, cost);
  return bucket_.Charge(now, cost);
}

void PartnerAccount::Credit(Time now, Time charged_at, MilliUnits cost) {
  Advance(now);
  bucket_.Credit(now, charged_at, cost);
}

std::optional<Span> PartnerAccount::TimeUntilAvailable(Time now, MilliUnits cost) {
  Advance(now);
  if (const auto wait = bucket_.TimeUntilAvailable(now, cost)) return wait;
  const MilliUnits rate = SlowedRate(minimum_.usable.rate, *timings_);
  if (minimum_.available_from <= now || rate <= 0 || cost > minimum_.usable.depth) return std::nullopt;
  const auto fill_time = std::chrono::nanoseconds(cost * 1'000'000 / rate * 1'000);
  return minimum_.available_from - now + fill_time;
}

bool PartnerAccount::Accept(Time now, const Grant& grant, const GrantId& id, Time expires_at) {
  if (id <= grant_id_ || expires_at <= now) return false;
  Advance(now);
  grant_ = grant.allocation;
  grant_id_ = id;
  grant_expires_at_ = expires_at;
  is_answered_ = true;
  LendReservedMinimum(expires_at);
  UpdateBucket(now);
  return true;
}

GrantAck PartnerAccount::HeldGrant(Time now) const {
  if (now >= grant_expires_at_) return {};
  const auto left = std::chrono::floor<std::chrono::milliseconds>(grant_expires_at_ - now);
  return {"", grant_id_, static_cast<std::uint64_t>(left.count())};
}

void PartnerAccount::SetReservedMinimum(Time now, const Allocation& usable, const Allocation& configured) {
  Advance(now);
  minimum_.usable = usable;
  minimum_.configured = configured;
  UpdateBucket(now);
}

// Returns whether `demand` differs from the requested demand by more than a quarter of the requested demand
// plus twice the largest charge, or whether exactly one of the two demands is zero.
bool PartnerAccount::HasDemandShifted(MilliUnits demand, Time now) {
  const MilliUnits tolerance = requested_demand_ / 4 + 2 * demand_.LargestCost(now);
  if (std::abs(demand - requested_demand_) > tolerance) return true;
  return (demand == 0) != (requested_demand_ == 0);
}

PartnerAccount::RequestUrgency PartnerAccount::NextRequest(Time now) {
  if (is_recalled_) return RequestUrgency::kNow;
  // Before the first request, `requested_at_` is Time::min(), and the subtraction would overflow.
  const Span since_request =
      requested_at_ == Time::min() ? timings_->max_grant_lifetime : now - requested_at_;
  if (since_request < DemandEstimator::kBinWidth) return RequestUrgency::kNone;
  const MilliUnits demand = demand_.Estimate(now);
  const bool has_grant = now < grant_expires_at_;
  if (has_grant && HasDemandShifted(demand, now)) return RequestUrgency::kNow;
  if (demand == 0 || since_request < timings_->request_interval) return RequestUrgency::kNone;
  // The allocator has granted as much as it could. When it can grant more, it does so without a request.
  const bool is_grant_up_to_date = has_grant && is_answered_;
  if (InForce(now).rate < demand && !is_grant_up_to_date) return RequestUrgency::kNow;
  if (!has_grant) return RequestUrgency::kNone;
  const Span left = grant_expires_at_ - now;
  if (left < timings_->max_grant_lifetime * 5 / 8) return RequestUrgency::kNow;
  return left < timings_->max_grant_lifetime * 7 / 8 ? RequestUrgency::kWithOthers : RequestUrgency::kNone;
}

GrantRequest PartnerAccount::MakeRequest(Time now) {
  is_recalled_ = false;
  is_answered_ = false;
  requested_at_ = now;
  requested_demand_ = demand_.Estimate(now);
  const MilliUnits min_depth = std::min(demand_.LargestCost(now), kMaxBurst);
  return {HeldGrant(now), std::min(requested_demand_, kMaxRate), min_depth};
}

bool PartnerAccount::IsIdle(Time now) {
  return !is_recalled_ && now >= grant_expires_at_ && demand_.Estimate(now) == 0;
}

}  // namespace load_balancer::quota
