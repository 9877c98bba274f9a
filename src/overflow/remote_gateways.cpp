// SPDX-License-Identifier: Apache-2.0
#include "overflow/remote_gateways.h"

#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>

namespace load_balancer::overflow {

RemoteGateways::RemoteGateways(const Directory& sites, const std::string& own_site, std::mt19937_64& random)
    : random_(random) {
  Configure(sites, own_site);
}

void RemoteGateways::Configure(const Directory& sites, const std::string& own_site) {
  std::erase_if(health_, [&](const auto& each) {
    const auto site = sites.find(each.first.site);
    return site == sites.end() || site->first == own_site || !site->second.contains(each.first.gateway);
  });
  for (const auto& [site, gateways] : sites) {
    if (site == own_site) continue;
    for (const auto& [gateway, addresses] : gateways) health_.try_emplace({site, gateway});
  }
}

void RemoteGateways::SetPresent(const RemoteGateway& gateway, bool present) {
  const auto found = health_.find(gateway);
  if (found != health_.end()) found->second.present = present;
}

// If the interval has ended, resets the counts and begins a new interval. An interval that had results but no
// ejection lowers the multiplier of the ejection time by 1.
void RemoteGateways::EndIntervalIfDue(Time now, Health& health) const {
  if (health.ejected || now < health.interval_ends) return;
  if (health.successes + health.failures > 0) health.multiplier = std::max(0, health.multiplier - 1);
  health.successes = health.failures = 0;
  health.interval_ends = now + kInterval;
}

bool RemoteGateways::RecordResult(Time now, const RemoteGateway& gateway, bool success) {
  const auto found = health_.find(gateway);
  if (found == health_.end() || found->second.ejected) return false;
  Health& health = found->second;
  EndIntervalIfDue(now, health);
  ++(success ? health.successes : health.failures);
  const int results = health.successes + health.failures;
  if (success || results < kRequestVolume || 100 * health.failures < kFailurePercentage * results)
    return false;
  health.ejected = true;
  ++health.multiplier;
  const auto ejection_time = std::min(kBaseEjectionTime * health.multiplier, kMaxEjectionTime);
  const int per_mille = boost::random::uniform_int_distribution<int>(750, 1250)(random_);
  health.return_at = now + ejection_time * per_mille / 1000;
  return true;
}

std::vector<RemoteGateway> RemoteGateways::EndEjections(Time now) {
  std::vector<RemoteGateway> returned;
  for (auto& [gateway, health] : health_) {
    if (health.ejected && now >= health.return_at) {
      health.ejected = false;
      health.successes = health.failures = 0;
      health.interval_ends = now + kInterval;
      returned.push_back(gateway);
    }
    EndIntervalIfDue(now, health);
  }
  return returned;
}

bool RemoteGateways::InService(Time now, const RemoteGateway& gateway) const {
  const auto found = health_.find(gateway);
  if (found == health_.end() || !found->second.present) return false;
  return !found->second.ejected || now >= found->second.return_at;
}

bool RemoteGateways::AnyInService(Time now, const std::string& site) const {
  auto at = health_.lower_bound({site, ""});
  while (at != health_.end() && at->first.site == site && !InService(now, at->first)) ++at;
  return at != health_.end() && at->first.site == site;
}

std::vector<RemoteGateway> RemoteGateways::InService(Time now, const std::string& site) const {
  std::vector<RemoteGateway> in_service;
  for (auto at = health_.lower_bound({site, ""}); at != health_.end() && at->first.site == site; ++at)
    if (InService(now, at->first)) in_service.push_back(at->first);
  return in_service;
}

}  // namespace load_balancer::overflow
