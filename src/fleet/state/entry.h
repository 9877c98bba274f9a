// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The entries of the replicated state: what members of a fleet announce to each other about servers, keys
/// and duties. The form of an entry in a message is in entry_codec.h.
#ifndef LOAD_BALANCER_FLEET_STATE_ENTRY_H_
#define LOAD_BALANCER_FLEET_STATE_ENTRY_H_

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>

#include "fleet/state/hybrid_clock.h"

namespace load_balancer::fleet {

/// Milliseconds since the Unix epoch, or a span of that many milliseconds.
using UnixMs = std::uint64_t;

/// Largest packed entry, in bytes; one of this size fits any message that carries state.
inline constexpr std::size_t kMaxEntryBytes = 1024;
/// Largest packed `FencedValue::value`, in bytes.
inline constexpr std::size_t kMaxValueBytes = 800;
/// Longest time from the writing of a fenced value to its end, in milliseconds.
inline constexpr UnixMs kMaxValueLifetime = 24 * 3600 * 1000;
/// Duties whose fencing token is remembered at a time.
inline constexpr std::size_t kMaxDuties = 4096;
/// Fenced values of all duties that are stored at a time.
inline constexpr std::size_t kMaxFencedValues = 16384;

/// A member has ejected a server after `failures` of `attempts`.
struct Ejection {
  std::string server;  ///< discovery's id
  UnixMs until = 0;    ///< end of the ejection
  int failures = 0;
  int attempts = 0;
};

/// The server that last received a request with this affinity key.
struct KeyAffinity {
  std::uint64_t key = 0;
  std::string server;
};

/// A value that the lease holder of a duty publishes. Of two values with one key the larger token wins, then
/// the later version; a token below the highest one seen of the duty is rejected (Kleppmann: "How to do
/// distributed locking", 2016).
struct FencedValue {
  std::string duty;
  std::string key;  ///< unique among the values of all duties
  std::uint64_t token = 0;
  UnixMs until = 0;
  nlohmann::json value;
};

/// A fenced value without its duty, token and end.
struct NamedValue {
  std::string key;
  nlohmann::json value;
};

/// The writer of an entry and the time of writing. The later stamp wins; of equal stamps the greater origin.
struct Version {
  HybridTimestamp stamp = 0;
  std::string origin;
  auto operator<=>(const Version&) const = default;
};

/// One register of the replicated state.
struct Entry {
  std::variant<Ejection, KeyAffinity, FencedValue> content;
  Version version;
};

/// The server that an entry is about, or the key of a fenced value.
const std::string& SubjectOf(const Entry& entry);

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_STATE_ENTRY_H_
