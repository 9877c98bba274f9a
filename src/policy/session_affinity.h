// SPDX-License-Identifier: Apache-2.0
// Where keys were sent lately: a server that met a key serves it again with less work.
#ifndef LOAD_BALANCER_SRC_POLICY_SESSION_AFFINITY_H_
#define LOAD_BALANCER_SRC_POLICY_SESSION_AFFINITY_H_

#include <deque>
#include <map>
#include <unordered_map>
#include <utility>

#include "load_balancer/balancer.h"

namespace load_balancer {

constexpr double kWarmWeight = 2;     // of a request's work, at a server that met its key lately
constexpr Duration kKeyMemory{4000};  // how long a key sent to a server is taken to be warm there

class WarmKeys {
 public:
  void Met(std::uint64_t key, std::size_t server, TimePoint now) {
    for (; !order_.empty() && now - order_.front().first >= kKeyMemory; order_.pop_front()) {
      auto& servers = met_[order_.front().second];
      std::erase_if(servers, [&](const auto& met) { return now - met.second >= kKeyMemory; });
      if (servers.empty()) met_.erase(order_.front().second);
    }
    met_[key][server] = now;
    order_.emplace_back(now, key);
  }
  bool Warm(std::uint64_t key, std::size_t server, TimePoint now) const {
    const auto found = met_.find(key);
    if (found == met_.end()) return false;
    const auto at = found->second.find(server);
    return at != found->second.end() && now - at->second < kKeyMemory;
  }

 private:
  std::unordered_map<std::uint64_t, std::map<std::size_t, TimePoint>> met_;
  std::deque<std::pair<TimePoint, std::uint64_t>> order_;
};

}  // namespace load_balancer

#endif  // LOAD_BALANCER_SRC_POLICY_SESSION_AFFINITY_H_
