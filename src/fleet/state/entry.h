// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The entries of the replicated state. Members of a fleet exchange these entries to share what they know
/// about servers, affinity keys and leased roles. entry_codec.h encodes them for messages.
#ifndef LOAD_BALANCER_FLEET_STATE_ENTRY_H_
#define LOAD_BALANCER_FLEET_STATE_ENTRY_H_

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>

#include "fleet/state/hybrid_clock.h"

namespace load_balancer::fleet {

/// UnixMs is a time in milliseconds since the Unix epoch, or a duration in milliseconds.
using UnixMs = std::uint64_t;

/// Maximum size of a packed entry, in bytes. An entry of this size fits any message that carries state.
inline constexpr std::size_t kMaxEntryBytes = 1024;
/// Maximum size of a packed `FencedValue::value`, in bytes.
inline constexpr std::size_t kMaxValueBytes = 800;
/// Maximum time from the timestamp of a fenced value to its expiry, in milliseconds.
inline constexpr UnixMs kMaxValueLifetime = 24 * 3600 * 1000;
/// Maximum number of leased roles whose highest fencing token is stored.
inline constexpr std::size_t kMaxLeasedRoles = 4096;
/// Maximum number of fenced values that are stored, over all leased roles.
inline constexpr std::size_t kMaxFencedValues = 16384;

/// Ejection records that a member has ejected a server because `failures` of `attempts` attempts failed.
struct Ejection {
  std::string server;  ///< the server's id in discovery
  UnixMs until = 0;    ///< time at which the ejection ends
  int failures = 0;
  int attempts = 0;
};

/// KeyAffinity names the server that last received a request with the affinity key `key`.
struct KeyAffinity {
  std::uint64_t key = 0;
  std::string server;
};

/// Token of the values of a role that has no lease. Since the tokens are equal, the later version of a value
/// wins, whichever member wrote it.
inline constexpr std::uint64_t kUnfencedToken = 1;

/// FencedValue is a value that the lease holder of a role publishes. Of two values with the same key, the one
/// with the larger token wins; if the tokens are equal, the one with the later version wins. A value whose
/// token is below the highest token seen for its role is rejected (Kleppmann: "How to do distributed
/// locking", 2016).
struct FencedValue {
  std::string role;  ///< name of the lease that the publisher holds
  std::string key;   ///< unique among the values of all roles
  std::uint64_t token = 0;
  UnixMs until = 0;  ///< time at which the value expires
  nlohmann::json value;
};

/// NamedValue is a fenced value without its role, token and expiry.
struct NamedValue {
  std::string key;
  nlohmann::json value;
};

/// Version identifies a write of an entry. The later version wins: the one with the larger timestamp or, if
/// the timestamps are equal, with the greater origin.
struct Version {
  HybridTimestamp stamp = 0;
  std::string origin;  ///< name of the member that wrote the entry
  auto operator<=>(const Version&) const = default;
};

/// Entry is one last-writer-wins register of the replicated state.
struct Entry {
  std::variant<Ejection, KeyAffinity, FencedValue> content;
  Version version;
};

/// Returns the server that an ejection or an affinity names, or the key of a fenced value.
const std::string& SubjectOf(const Entry& entry);

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_STATE_ENTRY_H_
