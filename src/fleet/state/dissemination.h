// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Selection of the stored entries that a message carries to other members (Das, Gupta, Motivala: "SWIM",
/// 2002: least sent first, each a bounded number of times).
#ifndef LOAD_BALANCER_FLEET_STATE_DISSEMINATION_H_
#define LOAD_BALANCER_FLEET_STATE_DISSEMINATION_H_

#include <cstddef>
#include <nlohmann/json.hpp>

#include "fleet/state/entry_store.h"

namespace load_balancer::fleet {

/// Packs pending entries into an array of at most `max_bytes`, without counting them as sent.
nlohmann::json PackPending(const EntryStore& store, std::size_t max_bytes);

/// The same, and counts them as sent; each is pending until it has been sent `max_transmits` times.
nlohmann::json PackAndCountPending(EntryStore* store, std::size_t max_bytes, int max_transmits);

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_STATE_DISSEMINATION_H_
