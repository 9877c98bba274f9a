// SPDX-License-Identifier: Apache-2.0
//
// The largest token seen of each duty: what the holder before it wrote is refused. A fence is kept as long as
// a fact written under a smaller token could last, so that none outlives the fence that stops it.
#ifndef LOAD_BALANCER_FLEET_STATE_FENCING_TOKENS_H_
#define LOAD_BALANCER_FLEET_STATE_FENCING_TOKENS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "fleet/state/entry.h"

namespace load_balancer::fleet {

class Fences {
 public:
  // 0 if none is known.
  std::uint64_t Of(const std::string& duty) const;
  // Whether the duty is known or there is room for one more.
  bool HasRoomFor(const std::string& duty) const {
    return fences_.size() < kMostDuties || fences_.contains(duty);
  }
  // A fact under the token was written at `written`. True if the token is larger than any before.
  bool Raise(const std::string& duty, std::uint64_t token, UnixMs written);
  void Expire(UnixMs now);
  std::size_t size() const { return fences_.size(); }

 private:
  struct Fence {
    std::uint64_t token = 0;
    UnixMs until = 0;
  };

  std::map<std::string, Fence> fences_;
  std::set<std::pair<UnixMs, std::string>> by_end_;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_STATE_FENCING_TOKENS_H_
