// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The identity of an entry: of two entries with equal keys one replaces the other.
#ifndef LOAD_BALANCER_FLEET_STATE_ENTRY_KEY_H_
#define LOAD_BALANCER_FLEET_STATE_ENTRY_KEY_H_

#include <cstdint>
#include <string>
#include <variant>

#include "fleet/state/entry.h"

namespace load_balancer::fleet {

struct FencedValueKey {
  std::string key;
  auto operator<=>(const FencedValueKey&) const = default;
};

struct EjectionKey {
  std::string server;
  auto operator<=>(const EjectionKey&) const = default;
};

struct KeyAffinityKey {
  std::uint64_t key = 0;
  auto operator<=>(const KeyAffinityKey&) const = default;
};

/// Ordered by kind, then by value. Members compare digests that they compute in this order, so it is part of
/// the protocol.
using EntryKey = std::variant<FencedValueKey, EjectionKey, KeyAffinityKey>;

EntryKey KeyOf(const Entry& entry);

/// The entry's position in the hash space that members divide into buckets (XXH64); part of the protocol.
std::uint64_t HashOf(const EntryKey& key);

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_STATE_ENTRY_KEY_H_
