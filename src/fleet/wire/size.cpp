// SPDX-License-Identifier: Apache-2.0
#include "fleet/wire/codec.h"

namespace brackenspoke::fleet {
namespace {

// Bytes of MessagePack beside the texts: of an update (its array, three texts, the state, the incarnation),
// and of the rest of a message (a map of twelve one-letter keys with their values).
constexpr std::size_t kUpdateBytes = 1 + 3 * 2 + 1 + 9;
constexpr std::size_t kMessageBytes = 1 + 12 * 2 + 3 * 1 + 3 * 9 + 3 * 2 + 3;

}  // namespace

std::size_t SizeOf(const Update& update) {
  return kUpdateBytes + update.name.size() + update.accuser.size() + Text(update.address).size();
}

std::size_t RoomFor(std::string_view fleet, const Message& message) {
  const std::size_t taken = kMessageBytes + fleet.size() + SizeOf(message.sender) + message.target.size() +
                            Text(message.target_address).size();
  return taken < kMostDatagram ? kMostDatagram - taken : 0;
}

}  // namespace brackenspoke::fleet
