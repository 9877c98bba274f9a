// SPDX-License-Identifier: Apache-2.0
//
// What members tell each other of servers, keys and duties, and its form in a message.
#ifndef LOAD_BALANCER_FLEET_STATE_ENTRY_H_
#define LOAD_BALANCER_FLEET_STATE_ENTRY_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>

#include "fleet/state/hybrid_clock.h"

namespace load_balancer::fleet {

using UnixMs = std::uint64_t;

inline constexpr std::size_t kMostEntry = 1024;           // bytes, packed: fits any message of the state
inline constexpr std::size_t kMostValue = 800;            // bytes of a duty's fact, packed
inline constexpr UnixMs kLongestFact = 24 * 3600 * 1000;  // from a duty's fact to its end
inline constexpr std::size_t kMostDuties = 4096;          // whose tokens are remembered
inline constexpr std::size_t kMostFacts = 16384;          // of all duties

// A member has taken a server out: on `failures` of `attempts`, until then.
struct Verdict {
  std::string server;  // discovery's id
  UnixMs until = 0;
  int failures = 0, attempts = 0;
};

// A request with this key went there.
struct KeySite {
  std::uint64_t key = 0;
  std::string server;
};

// What the holder of a duty makes known. The larger token wins, then the later stamp; a token smaller than
// the largest seen of the duty is refused (Kleppmann: "How to do distributed locking", 2016).
struct DutyFact {
  std::string duty, key;  // the key is the fact's own among all duties
  std::uint64_t token = 0;
  UnixMs until = 0;
  nlohmann::json value;
};

// Who wrote an entry, and when. The later stamp wins; of equal ones the greater name.
struct Version {
  Stamp stamp = 0;
  std::string origin;
  auto operator<=>(const Version&) const = default;
};

struct Entry {
  std::variant<Verdict, KeySite, DutyFact> fact;
  Version version;
};

// The server, or the key of a duty's fact.
const std::string& SubjectOf(const Entry& entry);

nlohmann::json Pack(const Entry& entry);
// Throws json::exception or std::invalid_argument on anything out of form.
Entry Unpack(const nlohmann::json& packed);
// Bytes that it takes in a message.
std::size_t PackedSize(const nlohmann::json& packed);

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_STATE_ENTRY_H_
