// SPDX-License-Identifier: Apache-2.0
//
// The form of a message: one MessagePack map a datagram, with the protocol's version and the fleet's name.
// Whatever is not such a map, whole and within the size, is dropped with a reason.
#ifndef LOAD_BALANCER_FLEET_WIRE_CODEC_H_
#define LOAD_BALANCER_FLEET_WIRE_CODEC_H_

#include <cstdint>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

#include "fleet/wire/message.h"

namespace load_balancer::fleet {

// At most kMostDatagram bytes, if the updates were taken by RoomFor.
std::vector<std::uint8_t> Encode(std::string_view fleet, const Message& message);
std::variant<Message, Drop> Decode(std::string_view fleet, std::span<const std::uint8_t> datagram);

// Bytes that an update takes in a message, at most; and those that a message has for updates.
std::size_t SizeOf(const Update& update);
std::size_t RoomFor(std::string_view fleet, const Message& message);

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_WIRE_CODEC_H_
