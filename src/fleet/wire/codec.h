// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The form of a message in a datagram: one MessagePack map with the protocol's version and the fleet's name.
#ifndef LOAD_BALANCER_FLEET_WIRE_CODEC_H_
#define LOAD_BALANCER_FLEET_WIRE_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

#include "fleet/wire/message.h"

namespace load_balancer::fleet {

/// At most kMaxDatagramBytes, if updates and state were added within RemainingBytes.
std::vector<std::uint8_t> Encode(std::string_view fleet, const Message& message);

/// The message, or why the datagram is dropped: anything but a complete, well-formed message of `fleet`.
std::variant<Message, DropReason> Decode(std::string_view fleet, std::span<const std::uint8_t> datagram);

/// Upper bound of the bytes that an update takes in a message.
std::size_t EncodedSize(const Update& update);

/// Lower bound of the bytes that are left for updates and state in a message that has none yet.
std::size_t RemainingBytes(std::string_view fleet, const Message& message);

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_WIRE_CODEC_H_
