// SPDX-License-Identifier: Apache-2.0
#include "quota/commitments.h"

#include <algorithm>

namespace brackenspoke::quota {

void Commitments::Add(GatewayId gateway, const Outstanding& draw) { held_[gateway].draws.push_back(draw); }

void Commitments::Acknowledge(GatewayId gateway, std::uint64_t life, const DrawId& id, Span away) {
  const auto found = held_.find(gateway);
  if (found == held_.end()) return;
  auto& [draws, lent_until] = found->second;
  const auto taken = std::find_if(draws.begin(), draws.end(), [&](const Outstanding& draw) {
    return draw.life == life && draw.id == id;
  });
  if (taken == draws.end()) return;
  lent_until = std::max(lent_until, taken->sent + away - apart_);
  std::erase_if(draws, [&](const Outstanding& draw) { return draw.life == life && draw.id < id; });
}

void Commitments::Prune(Time now) {
  for (auto it = held_.begin(); it != held_.end();) {
    std::erase_if(it->second.draws, [&](const Outstanding& draw) { return draw.until <= now; });
    const bool over = it->second.draws.empty() && it->second.lent_until <= now;
    it = over ? held_.erase(it) : std::next(it);
  }
}

// One life of the gateway has one draw at a time, or its floor; two lives may have a draw each. Without those
// of the life `but`.
Part Commitments::Drawn(const Held& held, Time begin, const std::uint64_t* but) {
  Part sum;
  for (std::size_t i = 0; i < held.draws.size(); ++i) {
    const std::uint64_t life = held.draws[i].life;
    const auto same = [&](const Outstanding& draw) { return draw.life == life; };
    const auto first = held.draws.begin() + static_cast<std::ptrdiff_t>(i);
    if ((but && life == *but) || std::any_of(held.draws.begin(), first, same)) continue;
    Part part;
    for (auto draw = first; draw != held.draws.end(); ++draw)
      if (same(*draw) && draw->until > begin) part = Larger(part, draw->part);
    sum = sum + part;
  }
  return sum;
}

Part Commitments::In(const Held& held, Time begin, const Part& floor) const {
  const Part drawn = Drawn(held, begin, nullptr);
  return held.lent_until >= begin + slot_ ? drawn : Larger(drawn, floor);
}

Part Commitments::Others(GatewayId gateway, Time at, std::uint64_t life) const {
  const auto found = held_.find(gateway);
  return found == held_.end() ? Part{} : Drawn(found->second, SlotBegin(at), &life);
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
    for (const Outstanding& draw : found->second.draws)
      if (draw.life == life && (!newest || draw.id > newest->id)) newest = &draw;
  return newest;
}

Time Commitments::LastEnd(Time now) const {
  for (const auto& [gateway, held] : held_)
    for (const Outstanding& draw : held.draws) now = std::max(now, draw.until);
  return now;
}

Time Commitments::Change(const Held& held, Time begin) const {
  Time change = held.lent_until >= begin + slot_ ? held.lent_until - slot_ + Span(1) : Time::max();
  for (const Outstanding& draw : held.draws)
    if (draw.until > begin) change = std::min(change, draw.until);
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

}  // namespace brackenspoke::quota
