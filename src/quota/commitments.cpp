// SPDX-License-Identifier: Apache-2.0
#include "quota/commitments.h"

#include <algorithm>

namespace load_balancer::quota {

void Commitments::Add(GatewayId gateway, const Outstanding& grant) { held_[gateway].grants.push_back(grant); }

void Commitments::Acknowledge(GatewayId gateway, std::uint64_t life, const GrantId& id, Span away) {
  const auto found = held_.find(gateway);
  if (found == held_.end()) return;
  auto& [grants, lent_until] = found->second;
  const auto taken = std::find_if(grants.begin(), grants.end(), [&](const Outstanding& grant) {
    return grant.life == life && grant.id == id;
  });
  if (taken == grants.end()) return;
  lent_until = std::max(lent_until, taken->sent + away - apart_);
  std::erase_if(grants, [&](const Outstanding& grant) { return grant.life == life && grant.id < id; });
}

void Commitments::Prune(Time now) {
  for (auto it = held_.begin(); it != held_.end();) {
    std::erase_if(it->second.grants, [&](const Outstanding& grant) { return grant.until <= now; });
    const bool over = it->second.grants.empty() && it->second.lent_until <= now;
    it = over ? held_.erase(it) : std::next(it);
  }
}

// One life of the gateway has one grant at a time, or its floor; two lives may have a grant each. Without
// those of the life `but`.
Part Commitments::Granted(const Held& held, Time begin, const std::uint64_t* but) {
  Part sum;
  for (std::size_t i = 0; i < held.grants.size(); ++i) {
    const std::uint64_t life = held.grants[i].life;
    const auto same = [&](const Outstanding& grant) { return grant.life == life; };
    const auto first = held.grants.begin() + static_cast<std::ptrdiff_t>(i);
    if ((but && life == *but) || std::any_of(held.grants.begin(), first, same)) continue;
    Part part;
    for (auto grant = first; grant != held.grants.end(); ++grant)
      if (same(*grant) && grant->until > begin) part = Larger(part, grant->part);
    sum = sum + part;
  }
  return sum;
}

Part Commitments::In(const Held& held, Time begin, const Part& floor) const {
  const Part granted = Granted(held, begin, nullptr);
  return held.lent_until >= begin + slot_ ? granted : Larger(granted, floor);
}

Part Commitments::Others(GatewayId gateway, Time at, std::uint64_t life) const {
  const auto found = held_.find(gateway);
  return found == held_.end() ? Part{} : Granted(found->second, SlotBegin(at), &life);
}

Part Commitments::At(GatewayId gateway, Time at, const Part& floor) const {
  const auto found = held_.find(gateway);
  return found == held_.end() ? floor : In(found->second, SlotBegin(at), floor);
}

Time Commitments::lent_until(GatewayId gateway) const {
  const auto found = held_.find(gateway);
  return found == held_.end() ? Time::min() : found->second.lent_until;
}

const Outstanding* Commitments::Newest(GatewayId gateway, std::uint64_t life) const {
  const auto found = held_.find(gateway);
  const Outstanding* newest = nullptr;
  if (found != held_.end())
    for (const Outstanding& grant : found->second.grants)
      if (grant.life == life && (!newest || grant.id > newest->id)) newest = &grant;
  return newest;
}

Time Commitments::LastEnd(Time now) const {
  for (const auto& [gateway, held] : held_)
    for (const Outstanding& grant : held.grants) now = std::max(now, grant.until);
  return now;
}

Time Commitments::Change(const Held& held, Time begin) const {
  Time change = held.lent_until >= begin + slot_ ? held.lent_until - slot_ + Span(1) : Time::max();
  for (const Outstanding& grant : held.grants)
    if (grant.until > begin) change = std::min(change, grant.until);
  return change;
}

std::vector<Part> Commitments::Sums(Time now, Time end, const Floors& floors) const {
  const Time first = SlotBegin(now);
  std::vector<Part> sums(static_cast<std::size_t>((end - first + slot_ - Span(1)) / slot_), floors.total());
  for (const auto& [gateway, held] : held_) {
    const Part floor = floors.Of(gateway);
    Time begin = first, change = first;
    Part more;
    for (Part& sum : sums) {
      if (begin >= change) {
        more = In(held, begin, floor) - floor;
        change = Change(held, begin);
      }
      sum = sum + more;
      begin += slot_;
    }
  }
  return sums;
}

}  // namespace load_balancer::quota
