// SPDX-License-Identifier: Apache-2.0
#include "quota/division.h"

#include <algorithm>

namespace load_balancer::quota {
namespace {

using Indices = std::vector<std::size_t>;

// Fills the claims `who` up to a common level; the rest of `parts` stays as it is.
void Fill(Milli capacity, const std::vector<Claim>& claims, const Indices& who, std::vector<Milli>* parts) {
  Milli demand = 0, floors = 0, highest = 0;
  for (const std::size_t i : who) {
    demand += claims[i].demand;
    floors += std::min(claims[i].demand, claims[i].floor);
    highest = std::max(highest, claims[i].demand);
  }
  if (demand <= capacity) {
    for (const std::size_t i : who)
      (*parts)[i] = demand == 0 ? 0 : claims[i].demand + (capacity - demand) * claims[i].demand / demand;
    return;
  }
  const bool by_floors = floors <= capacity;
  const auto part = [&](std::size_t i, Milli level) {
    const Milli floor = by_floors ? std::min(claims[i].demand, claims[i].floor) : 0;
    return std::max(floor, std::min(claims[i].demand, level));
  };
  Milli low = 0, high = highest;  // the highest level that fits is in [low, high)
  while (high - low > 1) {
    const Milli level = low + (high - low) / 2;
    Milli sum = 0;
    for (const std::size_t i : who) sum += part(i, level);
    (sum <= capacity ? low : high) = level;
  }
  for (const std::size_t i : who) (*parts)[i] = part(i, low);
}

}  // namespace

std::vector<Milli> Divide(Milli capacity, const std::vector<Claim>& claims, Time now) {
  std::vector<Milli> parts(claims.size(), 0);
  capacity = std::max<Milli>(capacity, 0);
  Indices all, large, small;
  for (std::size_t i = 0; i < claims.size(); ++i) all.push_back(i);
  Fill(capacity, claims, all, &parts);
  Milli pool = 0;
  for (const std::size_t i : all) {
    const bool useless = claims[i].demand > 0 && parts[i] < claims[i].least;
    (useless ? small : large).push_back(i);
    if (useless) pool += parts[i];
  }
  if (small.empty()) return parts;
  std::stable_sort(small.begin(), small.end(), [&](std::size_t a, std::size_t b) {
    const Time one = claims[a].turn_until, other = claims[b].turn_until;
    return (one > now) != (other > now) ? one > now : one < other;
  });
  pool = std::min(capacity, std::max(pool, claims[small.front()].least));
  Milli spent = 0;
  for (const std::size_t i : small) {
    parts[i] = spent + claims[i].least <= pool ? claims[i].least : 0;
    spent += parts[i];
  }
  Fill(capacity - spent, claims, large, &parts);
  return parts;
}

}  // namespace load_balancer::quota
