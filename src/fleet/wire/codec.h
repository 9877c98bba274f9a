// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Encodes and decodes messages. A datagram holds one MessagePack map, which includes the protocol version
/// and the name of the fleet.
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

/// Encodes a message. The result has at most kMaxDatagramBytes if the updates and the state of the message
/// fit RemainingBytes.
std::vector<std::uint8_t> Encode(std::string_view fleet, const Message& message);

/// Decodes a datagram. Returns the message if the datagram is a complete, well-formed message of `fleet`.
/// Otherwise returns the reason for which it is dropped.
std::variant<Message, DropReason> Decode(std::string_view fleet, std::span<const std::uint8_t> datagram);

/// Returns an upper bound of the size of an update in a message, in bytes.
std::size_t EncodedSize(const Update& update);

/// Returns a lower bound of the space that updates and state may take together in the message, in bytes.
/// Updates and state that the message already contains are not subtracted.
std::size_t RemainingBytes(std::string_view fleet, const Message& message);

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_WIRE_CODEC_H_
