// SPDX-License-Identifier: Apache-2.0
#include "overflow/remote_gateways.h"

#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>

namespace load_balancer::overflow {

Neighbours::Neighbours(const Directory& sites, const std::string& own_site, std::mt19937_64& random)
    : random_(random) {
  Configure(sites, own_site);
}

void Neighbours::Configure(const Directory& sites, const std::string& own_site) {
  std::erase_if(health_, [&](const auto& each) {
    const auto site = sites.find(each.first.site);
    return site == sites.end() || site->first == own_site || !site->second.contains(each.first.gateway);
  });
  for (const auto& [site, gateways] : sites) {
    if (site == own_site) continue;
    for (const auto& [gateway, addresses] : gateways) health_.try_emplace({site, gateway});
  }
}

void Neighbours::SetPresent(const Neighbour& neighbour, bool present) {
  const auto found = health_.find(neighbour);
  if (found != health_.end()) found->second.present = present;
}

// A new interval begins with no counts; one without an ejection takes one off the multiplier.
void Neighbours::Roll(Time now, Health& health) const {
  if (health.ejected || now < health.interval_ends) return;
  if (health.good + health.bad > 0) health.multiplier = std::max(0, health.multiplier - 1);
  health.good = health.bad = 0;
  health.interval_ends = now + kInterval;
}

bool Neighbours::Answered(Time now, const Neighbour& neighbour, bool good) {
  const auto found = health_.find(neighbour);
  if (found == health_.end() || found->second.ejected) return false;
  Health& health = found->second;
  Roll(now, health);
  ++(good ? health.good : health.bad);
  const int answers = health.good + health.bad;
  if (good || answers < kRequestVolume || 100 * health.bad < kFailurePercentage * answers) return false;
  health.ejected = true;
  ++health.multiplier;
  const auto time = std::min(kBaseEjectionTime * health.multiplier, kMaxEjectionTime);
  const int spread = boost::random::uniform_int_distribution<int>(750, 1250)(random_);
  health.return_at = now + time * spread / 1000;
  return true;
}

std::vector<Neighbour> Neighbours::Advance(Time now) {
  std::vector<Neighbour> returned;
  for (auto& [neighbour, health] : health_) {
    if (health.ejected && now >= health.return_at) {
      health.ejected = false;
      health.good = health.bad = 0;
      health.interval_ends = now + kInterval;
      returned.push_back(neighbour);
    }
    Roll(now, health);
  }
  return returned;
}

bool Neighbours::InService(Time now, const Neighbour& neighbour) const {
  const auto found = health_.find(neighbour);
  if (found == health_.end() || !found->second.present) return false;
  return !found->second.ejected || now >= found->second.return_at;
}

bool Neighbours::AnyInService(Time now, const std::string& site) const {
  auto at = health_.lower_bound({site, ""});
  while (at != health_.end() && at->first.site == site && !InService(now, at->first)) ++at;
  return at != health_.end() && at->first.site == site;
}

std::vector<Neighbour> Neighbours::InService(Time now, const std::string& site) const {
  std::vector<Neighbour> in_service;
  for (auto at = health_.lower_bound({site, ""}); at != health_.end() && at->first.site == site; ++at)
    if (InService(now, at->first)) in_service.push_back(at->first);
  return in_service;
}

}  // namespace load_balancer::overflow
