// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Encodes and decodes the entries of the replicated state. A packed entry is an array of a one-letter kind
/// and the entry's fields.
#ifndef LOAD_BALANCER_FLEET_STATE_ENTRY_CODEC_H_
#define LOAD_BALANCER_FLEET_STATE_ENTRY_CODEC_H_

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>

#include "fleet/state/entry.h"

namespace load_balancer::fleet {

/// Returns the entry as an array that a message can carry.
nlohmann::json Pack(const Entry& entry);

/// Decodes a packed entry. Returns nullopt if `packed` is malformed.
std::optional<Entry> Unpack(const nlohmann::json& packed);

/// Returns the size of a packed value in a message, in bytes.
std::size_t PackedSize(const nlohmann::json& packed);

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_STATE_ENTRY_CODEC_H_
