// SPDX-License-Identifier: Apache-2.0
#include "policy/server_subset.h"

#include <algorithm>
#include <cmath>

namespace load_balancer {
namespace {

// Minimum number of servers in a subset. If half of them are ejected, there is still a choice among the rest.
constexpr int kMinSubset = 8;
// The same minimum if hundreds of proxies share few servers.
constexpr int kMinCrowdedSubset = 3;
// Number of proxies with a connection to the same server above which subsets are made smaller.
constexpr double kMaxConnections = 64;
// At a lower cross_zone_price, spreading requests evenly over all zones is worth more than keeping them in
// one zone.
constexpr double kMinZonePrice = 0.02;
constexpr double kGoldenRatio = 0.6180339887498949;

// Appends to `subset` the servers on the proxy's arc of `ring`. The arc ends at the `in_service`-th server
// that is not ejected.
void AppendArc(const std::vector<Server>& servers, const std::vector<ServerIndex>& ring, int balancer_index,
               std::size_t in_service, std::vector<ServerIndex>* subset) {
  const double start = std::fmod(balancer_index * kGoldenRatio, 1) * static_cast<double>(ring.size());
  std::size_t found = 0;
  for (std::size_t step = 0; step < ring.size() && found < in_service; ++step) {
    const ServerIndex index = ring[(static_cast<std::size_t>(start) + step) % ring.size()];
    subset->push_back(index);
    if (!servers[index].health.is_ejected) ++found;
  }
}

}  // namespace

std::vector<ServerIndex> ChooseSubset(const std::vector<Server>& servers,
                                      const std::vector<ServerIndex>& ring, const Settings& settings,
                                      std::size_t evaluable_servers) {
  const double per_connection_limit =
      kMaxConnections * static_cast<double>(ring.size()) / settings.balancer_count;
  const auto min_size =
      static_cast<std::size_t>(std::clamp<double>(per_connection_limit, kMinCrowdedSubset, kMinSubset));
  const std::size_t size = std::max(evaluable_servers, min_size);
  const bool prefers_own_zone = settings.cross_zone_price > kMinZonePrice;
  std::vector<ServerIndex> own_zone;
  std::vector<ServerIndex> other_zones;
  for (const ServerIndex index : ring) {
    const bool is_own = prefers_own_zone && servers[index].entry.zone == settings.zone;
    (is_own ? own_zone : other_zones).push_back(index);
  }
  std::vector<ServerIndex> subset;
  AppendArc(servers, own_zone, settings.balancer_index, size, &subset);
  AppendArc(servers, other_zones, settings.balancer_index, size, &subset);
  return subset;
}

}  // namespace load_balancer
