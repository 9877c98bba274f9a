// SPDX-License-Identifier: Apache-2.0
#include "fleet/membership/suspicions.h"

#include <algorithm>
#include <cmath>

namespace load_balancer::fleet {
namespace {

// From the longest towards the shortest with each confirmation.
Span Lasts(Span shortest, Span longest, int wanted, int confirmed) {
  if (wanted <= 0) return shortest;
  const double share = std::log(confirmed + 1.0) / std::log(wanted + 1.0);
  const auto span = longest - std::chrono::duration_cast<Span>((longest - shortest) * share);
  return std::max(span, shortest);
}

}  // namespace

void Suspicions::Begin(Time now, const Update& update, Span shortest, std::size_t present) {
  Suspicion suspicion;
  suspicion.began = now;
  suspicion.shortest = shortest;
  suspicion.longest = shortest * kLongestSuspicion;
  // Those who could confirm: neither the suspect nor the accuser.
  suspicion.wanted = std::min(kConfirmations, static_cast<int>(present) - 2);
  suspicion.accusers.insert(update.accuser);
  suspicion.ends = now + Lasts(suspicion.shortest, suspicion.longest, suspicion.wanted, 0);
  open_[update.name] = std::move(suspicion);
}

bool Suspicions::Confirm(const Update& update) {
  const auto found = open_.find(update.name);
  if (found == open_.end()) return false;
  Suspicion& suspicion = found->second;
  const int confirmed = static_cast<int>(suspicion.accusers.size()) - 1;
  if (confirmed >= suspicion.wanted || !suspicion.accusers.insert(update.accuser).second) return false;
  suspicion.ends =
      suspicion.began + Lasts(suspicion.shortest, suspicion.longest, suspicion.wanted, confirmed + 1);
  return true;
}

void Suspicions::Delay(Span late) {
  for (auto& [name, suspicion] : open_) {
    suspicion.began += late;
    suspicion.ends += late;
  }
}

std::vector<std::string> Suspicions::First(std::size_t most) const {
  std::vector<std::string> names;
  for (const auto& [name, suspicion] : open_) {
    if (names.size() >= most) break;
    names.push_back(name);
  }
  return names;
}

std::vector<std::string> Suspicions::Over(Time now) const {
  std::vector<std::string> names;
  for (const auto& [name, suspicion] : open_)
    if (now >= suspicion.ends) names.push_back(name);
  return names;
}

Time Suspicions::Next() const {
  Time next = Time::max();
  for (const auto& [name, suspicion] : open_) next = std::min(next, suspicion.ends);
  return next;
}

}  // namespace load_balancer::fleet
