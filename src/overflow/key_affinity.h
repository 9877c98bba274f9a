// SPDX-License-Identifier: Apache-2.0
//
// Keys stay with the neighbour that served them while they are warm there.
#ifndef LOAD_BALANCER_OVERFLOW_KEY_AFFINITY_H_
#define LOAD_BALANCER_OVERFLOW_KEY_AFFINITY_H_

#include <cstdint>
#include <map>
#include <set>
#include <utility>

#include "base/time.h"
#include "overflow/remote_gateways.h"

namespace load_balancer::overflow {

class StickyKeys {
 public:
  static constexpr std::size_t kMostKeys = 16384;  // the one that ends first makes room

  // Null: none that is warm. Key 0 is no key.
  const Neighbour* Find(Time now, std::uint64_t key) const {
    const auto found = keys_.find(key);
    return found == keys_.end() || found->second.second <= now ? nullptr : &found->second.first;
  }
  void Met(Time now, std::uint64_t key, const Neighbour& neighbour, Span ttl) {
    if (key == 0) return;
    Expire(now);
    if (const auto found = keys_.find(key); found != keys_.end()) Drop(found->second.second, key);
    if (keys_.size() >= kMostKeys) Drop(by_end_.begin()->first, by_end_.begin()->second);
    keys_[key] = {neighbour, now + ttl};
    by_end_.emplace(now + ttl, key);
  }
  void Expire(Time now) {
    while (!by_end_.empty() && by_end_.begin()->first <= now)
      Drop(by_end_.begin()->first, by_end_.begin()->second);
  }
  std::size_t size() const { return keys_.size(); }

 private:
  void Drop(Time end, std::uint64_t key) {
    by_end_.erase({end, key});
    keys_.erase(key);
  }

  std::map<std::uint64_t, std::pair<Neighbour, Time>> keys_;
  std::set<std::pair<Time, std::uint64_t>> by_end_;
};

}  // namespace load_balancer::overflow

#endif  // LOAD_BALANCER_OVERFLOW_KEY_AFFINITY_H_
