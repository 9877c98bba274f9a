// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Selects the stored entries that a message carries to other members. As in SWIM (Das, Gupta, Motivala,
/// 2002), the entries that were sent least often go first, and each is sent a bounded number of times.
#ifndef LOAD_BALANCER_FLEET_STATE_DISSEMINATION_H_
#define LOAD_BALANCER_FLEET_STATE_DISSEMINATION_H_

#include <cstddef>
#include <nlohmann/json.hpp>
#include <set>
#include <vector>

#include "fleet/state/entry_store.h"

namespace load_balancer::fleet {

/// PackedPush is an array of packed entries with the keys of these entries.
struct PackedPush {
  nlohmann::json entries;
  std::vector<EntryKey> keys;
};

/// Packs the stored entries with the given keys, in the order of the keys, and stops at the first entry that
/// would exceed `max_bytes`.
PackedPush PackKeys(const EntryStore& store, const std::set<EntryKey>& keys, std::size_t max_bytes);

/// Packs pending entries into an array of at most `max_bytes` and counts each as sent once more. An entry
/// stops being pending after it was sent `max_transmits` times.
nlohmann::json PackAndCountPending(EntryStore* store, std::size_t max_bytes, int max_transmits);

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_STATE_DISSEMINATION_H_
