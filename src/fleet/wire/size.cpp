// SPDX-License-Identifier: Apache-2.0
#include "fleet/wire/codec.h"

namespace load_balancer::fleet {
namespace {

// Bytes of MessagePack beside the texts: of an update (its array, three texts, the state, the incarnation),
// of the rest of a message (a map of up to fifteen one-letter keys with their values), and of a lease.
constexpr std::size_t kUpdateBytes = 1 + 3 * 2 + 1 + 9;
constexpr std::size_t kMessageBytes = 1 + 15 * 2 + 3 * 1 + 3 * 9 + 3 * 2 + 3 + 2;
constexpr std::size_t kLeaseBytes = 2 + 1 + 2 * 1 + 2 * 2 + 7 * 9;
// Beside the digests themselves; and a slice with its key.
constexpr std::size_t kBucketsBytes = 2 + 3, kSliceBytes = 2 + 1 + 2 + kMostBuckets / 8 + 2 * 9 + 1;

std::size_t SizeOf(const std::optional<Buckets>& buckets) {
  return buckets ? kBucketsBytes + buckets->Pack().size() : 0;
}

}  // namespace

std::size_t SizeOf(const Update& update) {
  return kUpdateBytes + update.name.size() + update.accuser.size() + Text(update.address).size();
}

std::size_t RoomFor(std::string_view fleet, const Message& message) {
  std::size_t taken = kMessageBytes + fleet.size() + SizeOf(message.sender) + message.target.size() +
                      Text(message.target_address).size();
  taken += SizeOf(message.buckets) + SizeOf(message.state_buckets) + (message.slice ? kSliceBytes : 0);
  if (const auto& lease = message.lease)
    taken += kLeaseBytes + lease->lease_name.size() + lease->holder.size();
  if (message.kind == Message::Kind::kPayload)
    taken += message.channel.size() + nlohmann::json::to_msgpack(message.payload).size();
  return taken < kMostDatagram ? kMostDatagram - taken : 0;
}

}  // namespace load_balancer::fleet
