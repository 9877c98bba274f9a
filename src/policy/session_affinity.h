// SPDX-License-Identifier: Apache-2.0
/// @file
/// Which servers have recently served which keys: such a server serves the key again with less work.
#ifndef LOAD_BALANCER_SRC_POLICY_SESSION_AFFINITY_H_
#define LOAD_BALANCER_SRC_POLICY_SESSION_AFFINITY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>

#include "load_balancer/balancer.h"

namespace load_balancer {

/// Remembers for a few seconds where the requests with a key were sent.
class SessionAffinity {
 public:
  /// A request with `key` was sent to the server with index `server` at `sent_at`.
  void Record(std::uint64_t key, std::size_t server, TimePoint sent_at);

  /// Whether that server has recently served the key.
  bool IsWarm(std::uint64_t key, std::size_t server, TimePoint now) const;

 private:
  struct Expiry {
    TimePoint recorded_at{};
    std::uint64_t key = 0;
  };

  void ForgetExpired(TimePoint now);

  std::unordered_map<std::uint64_t, std::map<std::size_t, TimePoint>> sent_at_;  // by key and server
  std::deque<Expiry> expiries_;                                                  // in the order of recording
};

}  // namespace load_balancer

#endif  // LOAD_BALANCER_SRC_POLICY_SESSION_AFFINITY_H_
