// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The highest fencing token seen of each duty, below which values of former lease holders are rejected.
#ifndef LOAD_BALANCER_FLEET_STATE_FENCING_TOKENS_H_
#define LOAD_BALANCER_FLEET_STATE_FENCING_TOKENS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "fleet/state/entry.h"

namespace load_balancer::fleet {

/// A token is remembered for as long as a value under a smaller one could last, so that no such value
/// outlives the token that rejects it.
class FencingTokens {
 public:
  /// 0 if none is known.
  std::uint64_t HighestOf(const std::string& duty) const;
  /// Whether the duty is known or one more can be remembered.
  bool HasRoomFor(const std::string& duty) const {
    return tokens_.size() < kMaxDuties || tokens_.contains(duty);
  }
  /// Records that a value was written under the token at `written`. True if the token is the highest so far.
  bool Raise(const std::string& duty, std::uint64_t token, UnixMs written);
  /// Forgets the tokens that are no longer needed.
  void Expire(UnixMs now);
  std::size_t size() const { return tokens_.size(); }

 private:
  struct HighestToken {
    std::uint64_t token = 0;
    UnixMs expires_at = 0;
  };
  struct Expiry {
    UnixMs expires_at = 0;
    std::string duty;
    auto operator<=>(const Expiry&) const = default;
  };

  std::map<std::string, HighestToken> tokens_;  // by duty
  std::set<Expiry> by_expiry_;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_STATE_FENCING_TOKENS_H_
