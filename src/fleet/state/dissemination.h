// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Selection of the stored entries that a message carries to other members (Das, Gupta, Motivala: "SWIM",
/// 2002: least sent first, each a bounded number of times).
#ifndef LOAD_BALANCER_FLEET_STATE_DISSEMINATION_H_
#define LOAD_BALANCER_FLEET_STATE_DISSEMINATION_H_

#include <cstddef>
#include <nlohmann/json.hpp>
#include <set>
#include <vector>

#include "fleet/state/entry_store.h"

namespace load_balancer::fleet {

/// An array of packed entries, and their keys.
struct PackedPush {
  nlohmann::json entries;
  std::vector<EntryKey> keys;
};

/// Packs as many of the stored entries with these keys as fit `max_bytes`, in the order of the keys.
PackedPush PackKeys(const EntryStore& store, const std::set<EntryKey>& keys, std::size_t max_bytes);

/// Packs pending entries into an array of at most `max_bytes` and counts them as sent; each is pending until
/// it has been sent `max_transmits` times.
nlohmann::json PackAndCountPending(EntryStore* store, std::size_t max_bytes, int max_transmits);

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_STATE_DISSEMINATION_H_
