// SPDX-License-Identifier: Apache-2.0
#include "fleet/wire/codec.h"

namespace load_balancer::fleet {
namespace {

// The constants are upper bounds of MessagePack sizes, in bytes, without the content of strings.
constexpr std::size_t kIntegerBytes = 9;
constexpr std::size_t kShortStringHeaderBytes = 2;
// The array of an update with its three strings, state and incarnation.
constexpr std::size_t kUpdateBytes = 1 + 3 * kShortStringHeaderBytes + 1 + kIntegerBytes;
// A map of up to fifteen one-letter keys with their values, without the updates and the optional parts below.
constexpr std::size_t kMessageBytes =
    1 + 15 * 2 + 3 * 1 + 3 * kIntegerBytes + 3 * kShortStringHeaderBytes + 3 + 2;
// The key and the array of a lease message with its type, denial reason, two strings and seven integers.
constexpr std::size_t kLeaseBytes = 2 + 1 + 2 * 1 + 2 * kShortStringHeaderBytes + 7 * kIntegerBytes;
// The key and the MessagePack header of bucket digests.
constexpr std::size_t kBucketDigestsBytes = 2 + 3;
// The key and the array of a range with its bucket bits, two integers and flag.
constexpr std::size_t kRangeBytes = 2 + 1 + 2 + kMaxBuckets / 8 + 2 * kIntegerBytes + 1;

std::size_t EncodedSize(const std::optional<BucketDigests>& digests) {
  return digests ? kBucketDigestsBytes + digests->Pack().size() : 0;
}

std::size_t EncodedSize(const LeaseMessage& lease) {
  return kLeaseBytes + lease.lease_name.size() + lease.holder.size();
}

}  // namespace

std::size_t EncodedSize(const Update& update) {
  return kUpdateBytes + update.name.size() + update.accuser.size() + FormatEndpoint(update.address).size();
}

std::size_t RemainingBytes(std::string_view fleet, const Message& message) {
  std::size_t used = kMessageBytes + fleet.size() + EncodedSize(message.sender);
  used += message.target.size() + FormatEndpoint(message.target_address).size();
  used += EncodedSize(message.member_buckets) + EncodedSize(message.state_buckets);
  if (message.range) used += kRangeBytes;
  if (message.lease) used += EncodedSize(*message.lease);
  if (message.kind == Message::Kind::kPayload)
    used += message.channel.size() + nlohmann::json::to_msgpack(message.payload).size();
  return used < kMaxDatagramBytes ? kMaxDatagramBytes - used : 0;
}

}  // namespace load_balancer::fleet
