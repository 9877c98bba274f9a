// SPDX-License-Identifier: Apache-2.0
//
// Remembers which gateway of another site last served each key. Further requests of the key are forwarded to
// the same gateway while its site's caches are still warm for the key.
#ifndef LOAD_BALANCER_OVERFLOW_KEY_AFFINITY_H_
#define LOAD_BALANCER_OVERFLOW_KEY_AFFINITY_H_

#include <cstdint>
#include <map>
#include <set>
#include <utility>

#include "base/time.h"
#include "overflow/remote_gateways.h"

namespace load_balancer::overflow {

// AffinityTable maps keys to gateways for a limited time. Key 0 stands for a request without a key.
class AffinityTable {
 public:
  // At this limit, a new key replaces the one that expires first.
  static constexpr std::size_t kMaxKeys = 16384;

  // Returns the gateway of the key, or null if there is none or its entry has expired.
  const RemoteGateway* Find(Time now, std::uint64_t key) const {
    const auto found = keys_.find(key);
    return found == keys_.end() || found->second.second <= now ? nullptr : &found->second.first;
  }
  // Assigns the key to the gateway until `ttl` from now.
  void Record(Time now, std::uint64_t key, const RemoteGateway& gateway, Span ttl) {
    if (key == 0) return;
    Expire(now);
    if (const auto found = keys_.find(key); found != keys_.end()) Drop(found->second.second, key);
    if (keys_.size() >= kMaxKeys) Drop(by_expiry_.begin()->first, by_expiry_.begin()->second);
    keys_[key] = {gateway, now + ttl};
    by_expiry_.emplace(now + ttl, key);
  }
  // Drops the entries that have expired.
  void Expire(Time now) {
    while (!by_expiry_.empty() && by_expiry_.begin()->first <= now)
      Drop(by_expiry_.begin()->first, by_expiry_.begin()->second);
  }
  std::size_t size() const { return keys_.size(); }

 private:
  void Drop(Time expiry, std::uint64_t key) {
    by_expiry_.erase({expiry, key});
    keys_.erase(key);
  }

  std::map<std::uint64_t, std::pair<RemoteGateway, Time>> keys_;  // gateway and expiry, by key
  std::set<std::pair<Time, std::uint64_t>> by_expiry_;
};

}  // namespace load_balancer::overflow

#endif  // LOAD_BALANCER_OVERFLOW_KEY_AFFINITY_H_
