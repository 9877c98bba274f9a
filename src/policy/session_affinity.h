// SPDX-License-Identifier: Apache-2.0
/// @file
/// Session affinity: records which servers have recently served a session key. Such a server serves the key
/// again with less work.
#ifndef LOAD_BALANCER_SRC_POLICY_SESSION_AFFINITY_H_
#define LOAD_BALANCER_SRC_POLICY_SESSION_AFFINITY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>

#include "load_balancer/balancer.h"

namespace load_balancer {

/// Records for a few seconds to which servers the requests with a key were sent. The number of records is
/// limited; the oldest are forgotten first.
class SessionAffinity {
 public:
  /// Records that a request with `key` was sent to the server with index `server` at `sent_at`.
  void Record(std::uint64_t key, std::size_t server, TimePoint sent_at);

  /// Returns whether a request with `key` was recently sent to `server`, so that it has the key cached.
  bool IsWarm(std::uint64_t key, std::size_t server, TimePoint now) const;

 private:
  struct Expiry {
    TimePoint recorded_at{};
    std::uint64_t key = 0;
  };

  void ForgetExpired(TimePoint now);
  void ForgetOldest();

  std::unordered_map<std::uint64_t, std::map<std::size_t, TimePoint>> sent_at_;  // by key and server index
  std::deque<Expiry> expiries_;                                                  // in the order of recording
};

}  // namespace load_balancer

#endif  // LOAD_BALANCER_SRC_POLICY_SESSION_AFFINITY_H_
