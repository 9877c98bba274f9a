// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The form of an entry in a message: an array of a one-letter kind and the entry's fields.
#ifndef LOAD_BALANCER_FLEET_STATE_ENTRY_CODEC_H_
#define LOAD_BALANCER_FLEET_STATE_ENTRY_CODEC_H_

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>

#include "fleet/state/entry.h"

namespace load_balancer::fleet {

nlohmann::json Pack(const Entry& entry);

/// Nothing if `packed` is malformed.
std::optional<Entry> Unpack(const nlohmann::json& packed);

/// Bytes that the packed value takes in a message.
std::size_t PackedSize(const nlohmann::json& packed);

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_STATE_ENTRY_CODEC_H_
