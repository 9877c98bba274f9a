// SPDX-License-Identifier: Apache-2.0
#include "quota/commitments.h"

#include <algorithm>

namespace load_balancer::quota {

void Commitments::Add(GatewayId gateway, const OutstandingGrant& grant) {
  commitments_[gateway].grants.push_back(grant);
}

void Commitments::Acknowledge(GatewayId gateway, std::uint64_t incarnation, const GrantId& id,
                              Span lent_for) {
  const auto found = commitments_.find(gateway);
  if (found == commitments_.end()) return;
  auto& [grants, lent_until] = found->second;
  const auto acknowledged = std::find_if(grants.begin(), grants.end(), [&](const OutstandingGrant& grant) {
    return grant.incarnation == incarnation && grant.id == id;
  });
  if (acknowledged == grants.end()) return;
  lent_until = std::max(lent_until, acknowledged->sent_at + lent_for - max_clock_difference_);
  std::erase_if(grants, [&](const OutstandingGrant& grant) {
    return grant.incarnation == incarnation && grant.id < id;
  });
}

void Commitments::Prune(Time now) {
  for (auto it = commitments_.begin(); it != commitments_.end();) {
    auto& [grants, lent_until] = it->second;
    std::erase_if(grants, [&](const OutstandingGrant& grant) { return grant.expires_at <= now; });
    const bool is_over = grants.empty() && lent_until <= now;
    it = is_over ? commitments_.erase(it) : std::next(it);
  }
}

// Sums the largest possible grant of each incarnation. An incarnation has one grant or its reserved minimum
// in force at a time. Two incarnations of a gateway may each have a grant.
Allocation Commitments::Granted(const GatewayCommitment& commitment, Time begin,
                                const std::uint64_t* excluded_incarnation) {
  const std::vector<OutstandingGrant>& grants = commitment.grants;
  Allocation sum;
  for (auto first = grants.begin(); first != grants.end(); ++first) {
    const std::uint64_t incarnation = first->incarnation;
    if (excluded_incarnation && incarnation == *excluded_incarnation) continue;
    const auto is_same = [&](const OutstandingGrant& grant) { return grant.incarnation == incarnation; };
    if (std::any_of(grants.begin(), first, is_same)) continue;  // the sum already includes this incarnation
    Allocation largest;
    for (auto grant = first; grant != grants.end(); ++grant) {
      if (is_same(*grant) && grant->expires_at > begin) largest = ElementwiseMax(largest, grant->allocation);
    }
    sum = sum + largest;
  }
  return sum;
}

Allocation Commitments::InForce(const GatewayCommitment& commitment, Time begin,
                                const Allocation& reserved_minimum) const {
  const Allocation granted = Granted(commitment, begin, nullptr);
  const bool is_lent = commitment.lent_until >= begin + slot_;
  return is_lent ? granted : ElementwiseMax(granted, reserved_minimum);
}

Allocation Commitments::OfOtherIncarnations(GatewayId gateway, Time at, std::uint64_t incarnation) const {
  const auto found = commitments_.find(gateway);
  if (found == commitments_.end()) return {};
  return Granted(found->second, SlotBegin(at), &incarnation);
}

Allocation Commitments::At(GatewayId gateway, Time at, const Allocation& reserved_minimum) const {
  const auto found = commitments_.find(gateway);
  if (found == commitments_.end()) return reserved_minimum;
  return InForce(found->second, SlotBegin(at), reserved_minimum);
}

Time Commitments::lent_until(GatewayId gateway) const {
  const auto found = commitments_.find(gateway);
  return found == commitments_.end() ? Time::min() : found->second.lent_until;
}

const OutstandingGrant* Commitments::Newest(GatewayId gateway, std::uint64_t incarnation) const {
  const auto found = commitments_.find(gateway);
  if (found == commitments_.end()) return nullptr;
  const OutstandingGrant* newest = nullptr;
  for (const OutstandingGrant& grant : found->second.grants) {
    if (grant.incarnation == incarnation && (!newest || grant.id > newest->id)) newest = &grant;
  }
  return newest;
}

Time Commitments::LastExpiry(Time now) const {
  Time last = now;
  for (const auto& [gateway, commitment] : commitments_)
    for (const OutstandingGrant& grant : commitment.grants) last = std::max(last, grant.expires_at);
  return last;
}

Time Commitments::NextChange(const GatewayCommitment& commitment, Time begin) const {
  const bool is_lent = commitment.lent_until >= begin + slot_;
  Time change = is_lent ? commitment.lent_until - slot_ + Span(1) : Time::max();
  for (const OutstandingGrant& grant : commitment.grants) {
    if (grant.expires_at > begin) change = std::min(change, grant.expires_at);
  }
  return change;
}

std::vector<Allocation> Commitments::TotalsBySlot(Time now, Time end,
                                                  const ReservedMinimums& minimums) const {
  const Time first = SlotBegin(now);
  const auto slots = static_cast<std::size_t>((end - first + slot_ - Span(1)) / slot_);
  std::vector<Allocation> totals(slots, minimums.total());
  for (const auto& [gateway, commitment] : commitments_) {
    const Allocation minimum = minimums.Of(gateway);
    Time begin = first;
    Time change = first;
    Allocation difference;  // the gateway's allocation minus its reserved minimum; valid until `change`
    for (Allocation& total : totals) {
      if (begin >= change) {
        difference = InForce(commitment, begin, minimum) - minimum;
        change = NextChange(commitment, begin);
      }
      total = total + difference;
      begin += slot_;
    }
  }
  return totals;
}

}  // namespace load_balancer::quota
