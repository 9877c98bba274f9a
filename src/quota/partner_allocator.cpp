// SPDX-License-Identifier: Apache-2.0
#include "quota/partner_allocator.h"

#include <algorithm>
#include <compare>

namespace load_balancer::quota {
namespace {

using std::chrono::milliseconds;

constexpr int kSlotsPerLifetime = 16;
// The shortest time between two issues of grants is kMinIssueInterval plus kIssueIntervalPerRequester for
// each requester, because the work of issuing grants grows with the number of requesters.
constexpr Span kMinIssueInterval = milliseconds(10);
constexpr Span kIssueIntervalPerRequester = std::chrono::microseconds(50);
// A grant should last at least this fraction (1 / 4) of the longest lifetime, so that there is time to renew
// it.
constexpr int kRenewalFraction = 4;

// Returns the smallest rate whose allocation has at least `depth`.
MilliUnits RateForDepth(const Budget& budget, MilliUnits depth) {
  depth = std::min(depth, budget.burst);
  return std::min(budget.rate, (depth * budget.rate + budget.burst - 1) / budget.burst);
}

// Returns the smallest useful rate for a gateway with charges of up to `min_depth`.
MilliUnits MinUsefulRate(const Budget& budget, MilliUnits min_depth) {
  return RateForDepth(budget, std::max(min_depth, kUnit));
}

// Returns whether `left` is less than `right` by more than a sixteenth. Smaller differences are not worth an
// unrequested grant.
bool IsClearlyLess(MilliUnits left, MilliUnits right) { return left + right / 16 + 1 < right; }

struct RateChange {
  MilliUnits change = 0;
  GatewayId gateway = 0;
  auto operator<=>(const RateChange&) const = default;
};

}  // namespace

PartnerAllocator::PartnerAllocator(const Timings& timings)
    : timings_(&timings),
      commitments_(timings.max_grant_lifetime / kSlotsPerLifetime, timings.MaxClockDifference()) {}

void PartnerAllocator::Schedule(Time now) {
  Time earliest = now;
  if (issued_at_ != Time::min()) {
    const Span interval =
        kMinIssueInterval + static_cast<int>(requesters_.size()) * kIssueIntervalPerRequester;
    earliest = std::max(now, issued_at_ + interval);
  }
  due_ = std::min(due_, earliest);
}

void PartnerAllocator::OnGrantRequest(Time now, GatewayId gateway, std::uint64_t incarnation,
                                      std::uint64_t number, const GrantRequest& request) {
  Requester& requester = requesters_[gateway];
  if (requester.incarnation == incarnation && number <= requester.number) return;
  requester.incarnation = incarnation;
  requester.number = number;
  requester.received_at = now;
  requester.demand = request.demand;
  requester.min_depth = request.min_depth;
  requester.is_answered = false;
  expected_.erase(gateway);
  Schedule(now);
}

void PartnerAllocator::OnAck(Time now, GatewayId gateway, std::uint64_t incarnation, const GrantAck& ack) {
  commitments_.Acknowledge(gateway, incarnation, ack.grant, milliseconds(ack.lent_ms));
  if (is_waiting_) Schedule(now);
}

void PartnerAllocator::SetExpectedDemand(Time now, GatewayId gateway, MilliUnits demand) {
  if (requesters_.contains(gateway)) return;
  expected_[gateway] = {demand, now + 2 * timings_->request_interval};
}

std::map<GatewayId, MilliUnits> PartnerAllocator::Demand(Time now) const {
  std::map<GatewayId, MilliUnits> demand;
  for (const auto& [gateway, requester] : requesters_) {
    const bool is_recent = now - requester.received_at < timings_->max_grant_lifetime;
    if (requester.demand > 0 && is_recent) demand[gateway] = requester.demand;
  }
  return demand;
}

// Divides the capacity among the gateways with demand. The capacity excludes the allocations of all other
// gateways, which are their reserved minimums and unexpired grants. If the capacity suffices, each gateway
// with demand gets at least its reserved minimum.
void PartnerAllocator::ComputeTargets(Time now, const Budget& budget, const ReservedMinimums& minimums) {
  std::vector<GatewayId> gateways;
  std::vector<RateClaim> claims;
  MilliUnits capacity = budget.rate - commitments_.TotalsBySlot(now, now + Span(1), minimums).front().rate;
  MilliUnits total_demand = 0;
  MilliUnits total_with_minimums = 0;
  const auto claim = [&](GatewayId gateway, MilliUnits demand, MilliUnits min_depth, Time turn_until) {
    const Allocation minimum = minimums.Of(gateway);
    gateways.push_back(gateway);
    claims.push_back({demand, minimum.rate, MinUsefulRate(budget, min_depth), turn_until});
    capacity += commitments_.At(gateway, now, minimum).rate;
    total_demand += demand;
    total_with_minimums += std::max(demand, minimum.rate);
  };
  for (const auto& [gateway, requester] : requesters_)
    claim(gateway, requester.demand, requester.min_depth, requester.turn_until);
  for (const auto& [gateway, expected] : expected_) claim(gateway, expected.demand, 0, Time::min());

  is_oversubscribed_ = total_demand > capacity;
  if (total_with_minimums <= capacity) {
    for (RateClaim& each : claims) each.demand = std::max(each.demand, each.reserved_minimum);
  }
  const std::vector<MilliUnits> rates = DivideRate(capacity, claims, now);
  targets_.clear();
  for (std::size_t i = 0; i < gateways.size(); ++i) {
    targets_[gateways[i]] = rates[i];
    StartTurn(now, gateways[i], claims[i], rates[i]);
  }
}

// Starts a turn for a gateway whose rate is at most its minimum useful rate. A turn lasts for the longest
// lifetime of a grant.
void PartnerAllocator::StartTurn(Time now, GatewayId gateway, const RateClaim& claim, MilliUnits rate) {
  if (rate <= 0 || rate > claim.min_useful_rate) return;
  const auto requester = requesters_.find(gateway);
  if (requester == requesters_.end() || requester->second.turn_until > now) return;
  requester->second.turn_until = now + timings_->max_grant_lifetime;
}

MilliUnits PartnerAllocator::HeldRate(GatewayId gateway, const Requester& requester) const {
  const OutstandingGrant* newest = commitments_.Newest(gateway, requester.incarnation);
  return newest ? newest->allocation.rate : 0;
}

std::vector<GatewayId> PartnerAllocator::GatewaysDue() const {
  bool has_unmet_demand = is_oversubscribed_;
  for (const auto& [gateway, requester] : requesters_) {
    const MilliUnits needed = std::min(requester.demand, targets_.at(gateway));
    has_unmet_demand = has_unmet_demand || IsClearlyLess(HeldRate(gateway, requester), needed);
  }
  std::vector<RateChange> due;
  for (const auto& [gateway, requester] : requesters_) {
    const MilliUnits held_rate = HeldRate(gateway, requester);
    const MilliUnits target = targets_.at(gateway);
    const bool differs = IsClearlyLess(held_rate, target) || IsClearlyLess(target, held_rate);
    if (!requester.is_answered || (has_unmet_demand && differs)) due.push_back({target - held_rate, gateway});
  }
  std::sort(due.begin(), due.end());
  std::vector<GatewayId> gateways;
  for (const RateChange& change : due) gateways.push_back(change.gateway);
  return gateways;
}

void PartnerAllocator::Prune(Time now) {
  commitments_.Prune(now);
  std::erase_if(requesters_, [&](const auto& requester) {
    return now - requester.second.received_at >= timings_->max_grant_lifetime;
  });
  std::erase_if(expected_, [&](const auto& expected) { return expected.second.until <= now; });
}

std::vector<IssuedGrant> PartnerAllocator::IssueGrants(Time now, Time deadline, const Budget& budget,
                                                       const ReservedMinimums& minimums, GrantId* last) {
  Prune(now);
  issued_at_ = now;
  is_waiting_ = false;
  ComputeTargets(now, budget, minimums);
  const Time end = now + timings_->max_grant_lifetime + timings_->MaxClockDifference();
  GrantPlanner planner(budget, minimums, &commitments_, now, end);
  std::vector<IssuedGrant> issued;
  for (const GatewayId gateway : GatewaysDue()) {
    if (auto grant = IssueGrant(now, deadline, gateway, budget, &planner, last))
      issued.push_back(std::move(*grant));
  }
  due_ = Time::max();
  // While demand exceeds the capacity, grants are issued again at intervals, because turns end, reserved
  // minimums are recalled, and grants that were not renewed expire.
  if (is_oversubscribed_) due_ = now + timings_->request_interval;
  if (is_waiting_) due_ = now + commitments_.slot();
  return issued;
}

std::optional<IssuedGrant> PartnerAllocator::IssueGrant(Time now, Time deadline, GatewayId gateway,
                                                        const Budget& budget, GrantPlanner* planner,
                                                        GrantId* last) {
  Requester& requester = requesters_[gateway];
  const Time received = requester.received_at;
  const Span max_lifetime = timings_->max_grant_lifetime;
  const Span margin = timings_->MaxClockDifference();
  const MilliUnits target = targets_[gateway];
  const Time max_end = std::min(received + max_lifetime + margin, deadline);
  const Time min_end = std::min(max_end, now + max_lifetime / kRenewalFraction);
  const auto [allocation, end] = planner->Fit(gateway, requester.incarnation, target, min_end, max_end);
  is_waiting_ = is_waiting_ || allocation.rate < target;
  if (allocation.rate < std::min(target, MinUsefulRate(budget, requester.min_depth))) return std::nullopt;

  const auto lifetime = std::chrono::floor<milliseconds>(end - margin - received);
  const Time expires_at = received + lifetime + margin;
  const OutstandingGrant* newest = commitments_.Newest(gateway, requester.incarnation);
  const bool is_granted_already =
      newest && newest->allocation == allocation && newest->expires_at >= expires_at;
  if (requester.is_answered && is_granted_already) return std::nullopt;
  if (received + lifetime <= now) return std::nullopt;

  ++last->number;
  planner->Add(gateway, {requester.incarnation, *last, allocation, now, expires_at});
  requester.is_answered = true;
  const auto lifetime_ms = static_cast<std::uint64_t>(lifetime.count());
  return IssuedGrant{
      gateway, requester.incarnation, {"", requester.number, last->number, allocation, lifetime_ms}};
}

bool PartnerAllocator::WasRequestedSince(GatewayId gateway, Time since) const {
  const auto requester = requesters_.find(gateway);
  if (requester != requesters_.end() && requester->second.received_at > since) return true;
  const auto recalled = recalled_at_.find(gateway);
  return recalled != recalled_at_.end() && recalled->second > since;
}

std::vector<GatewayId> PartnerAllocator::Recalls(Time now, const GatewayRegistry& gateways,
                                                 const ReservedMinimums& minimums) {
  std::vector<GatewayId> recalls;
  if (!is_oversubscribed_ || minimums.total().rate == 0) return recalls;
  const Time lent_long_enough = now + timings_->max_grant_lifetime / 2;
  for (GatewayId gateway = 0; gateway < gateways.size(); ++gateway) {
    if (minimums.Of(gateway).rate == 0 || commitments_.lent_until(gateway) > lent_long_enough) continue;
    if (WasRequestedSince(gateway, now - timings_->request_interval)) continue;
    recalled_at_[gateway] = now;
    recalls.push_back(gateway);
  }
  return recalls;
}

}  // namespace load_balancer::quota
