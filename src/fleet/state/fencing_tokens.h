// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Stores the highest fencing token seen for each leased role. Values with a smaller token come from former
/// lease holders and are rejected.
#ifndef LOAD_BALANCER_FLEET_STATE_FENCING_TOKENS_H_
#define LOAD_BALANCER_FLEET_STATE_FENCING_TOKENS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "fleet/state/entry.h"

namespace load_balancer::fleet {

/// FencingTokens stores the highest token of each role. A token stays stored until every value with a smaller
/// token must have expired. Otherwise a member that has forgotten the token could accept such a value.
class FencingTokens {
 public:
  /// Returns the highest token seen for the role, or 0 if none is known.
  std::uint64_t HighestOf(const std::string& role) const;
  /// Returns whether a token of the role is stored or there is capacity for one more role.
  bool HasCapacityFor(const std::string& role) const {
    return tokens_.size() < kMaxLeasedRoles || tokens_.contains(role);
  }
  /// Records that a value was written with the token at the time `written_at`. Returns whether the token
  /// exceeds all earlier tokens of the role.
  bool Raise(const std::string& role, std::uint64_t token, UnixMs written_at);
  /// Erases the tokens that expire at `now` or earlier.
  void Expire(UnixMs now);
  std::size_t size() const { return tokens_.size(); }

 private:
  struct HighestToken {
    std::uint64_t token = 0;
    UnixMs expires_at = 0;
  };
  struct Expiry {
    UnixMs expires_at = 0;
    std::string role;
    auto operator<=>(const Expiry&) const = default;
  };

  std::map<std::string, HighestToken> tokens_;  // by role
  std::set<Expiry> by_expiry_;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_STATE_FENCING_TOKENS_H_
