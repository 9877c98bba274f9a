// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Defines the key that identifies an entry. An entry replaces a stored entry with the same key.
#ifndef LOAD_BALANCER_FLEET_STATE_ENTRY_KEY_H_
#define LOAD_BALANCER_FLEET_STATE_ENTRY_KEY_H_

#include <cstdint>
#include <string>
#include <variant>

#include "fleet/state/entry.h"

namespace load_balancer::fleet {

/// FencedValueKey identifies a fenced value.
struct FencedValueKey {
  std::string key;
  auto operator<=>(const FencedValueKey&) const = default;
};

/// EjectionKey identifies the ejection of a server.
struct EjectionKey {
  std::string server;
  auto operator<=>(const EjectionKey&) const = default;
};

/// KeyAffinityKey identifies the affinity of a key.
struct KeyAffinityKey {
  std::uint64_t key = 0;
  auto operator<=>(const KeyAffinityKey&) const = default;
};

/// EntryKey is the key of an entry of any kind. Keys are ordered by kind, then by value. ComputeDigest reads
/// the entries in this order and members compare its results, so the order is part of the protocol.
using EntryKey = std::variant<FencedValueKey, EjectionKey, KeyAffinityKey>;

/// Returns the key of an entry.
EntryKey KeyOf(const Entry& entry);

/// Returns the XXH64 hash that assigns an entry to a bucket. The hash is part of the protocol.
std::uint64_t HashOf(const EntryKey& key);

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_STATE_ENTRY_KEY_H_
