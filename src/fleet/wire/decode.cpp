// SPDX-License-Identifier: Apache-2.0
#include <algorithm>
#include <stdexcept>

#include "base/config/endpoint.h"
#include "fleet/wire/codec.h"
#include "fleet/wire/message_keys.h"

namespace load_balancer::fleet {
namespace {

using nlohmann::json;

// Number of elements in the array of an update and in the array of a lease message that a member of an older
// version has sent.
constexpr std::size_t kUpdateFields = 4;
constexpr std::size_t kLeaseFields = 6;
constexpr std::size_t kBitsPerByte = 8;

bool IsPrintable(char c) { return static_cast<unsigned char>(c) > ' ' && c != 0x7f; }

// The functions below throw json::exception or std::invalid_argument if the value is malformed.
std::string ReadName(const json& value) {
  auto name = value.get<std::string>();
  const bool is_valid =
      !name.empty() && name.size() <= kMaxNameBytes && std::all_of(name.begin(), name.end(), IsPrintable);
  if (!is_valid) throw std::invalid_argument("a name is empty, too long or not printable");
  return name;
}

Udp::endpoint ReadAddress(const json& value) {
  const auto address = ParseUdpEndpoint(value.get<std::string>());
  if (!address) throw std::invalid_argument("an address is not a valid host:port");
  return *address;
}

std::uint64_t ReadUnsigned(const json& value) {
  if (!value.is_number_unsigned()) throw std::invalid_argument("number");
  return value.get<std::uint64_t>();
}

template <typename Enum>
Enum ReadEnum(const json& value, std::size_t count) {
  const std::uint64_t index = ReadUnsigned(value);
  if (index >= count) throw std::invalid_argument("the value of an enum is out of range");
  return static_cast<Enum>(index);
}

Update ReadUpdate(const json& value) {
  Update update;
  update.name = ReadName(value.at(0));
  update.address = ReadAddress(value.at(1));
  update.state = ReadEnum<MemberState>(value.at(2), kMemberStates);
  update.incarnation = ReadUnsigned(value.at(3));
  if (value.size() > kUpdateFields) update.accuser = ReadName(value.at(4));
  return update;
}

LeaseMessage ReadLease(const json& value) {
  LeaseMessage lease;
  lease.type = ReadEnum<LeaseMessage::Type>(value.at(0), kLeaseMessageTypes);
  lease.lease_name = ReadName(value.at(1));
  lease.token = ReadUnsigned(value.at(2));
  lease.holder = value.at(3).get<std::string>();
  if (lease.holder.empty() || lease.holder.size() > 2 * kMaxNameBytes)
    throw std::invalid_argument("the lease holder is empty or too long");
  lease.retry_after_ms = ReadUnsigned(value.at(4));
  lease.requested_token = ReadUnsigned(value.at(5));
  if (value.size() <= kLeaseFields) return lease;  // older versions send no request number
  lease.request_number = ReadUnsigned(value.at(6));
  lease.term_ms = ReadUnsigned(value.at(7));
  lease.drift_ms = ReadUnsigned(value.at(8));
  lease.voter_set_hash = ReadUnsigned(value.at(9));
  lease.denial_reason = ReadEnum<LeaseMessage::DenialReason>(value.at(10), kDenialReasons);
  return lease;
}

BucketDigests ReadBucketDigests(const json& value) {
  const auto digests = BucketDigests::Unpack(value.get_binary());
  if (!digests) throw std::invalid_argument("buckets");
  return *digests;
}

BucketSet ReadBucketSet(const json& value) {
  const auto& bits = value.get_binary();
  BucketSet buckets;
  buckets.count = bits.size() * kBitsPerByte;
  if (!IsValidBucketCount(buckets.count)) throw std::invalid_argument("range");
  for (std::size_t i = 0; i < buckets.count; ++i)
    buckets.indices.set(i, (bits[i / kBitsPerByte] >> (i % kBitsPerByte)) & 1);
  return buckets;
}

DigestRange ReadRange(const json& value) {
  DigestRange range;
  range.buckets = ReadBucketSet(value.at(0));
  range.first = ReadUnsigned(value.at(1));
  range.last = ReadUnsigned(value.at(2));
  range.is_truncated = value.at(3).get<bool>();
  return range;
}

void ReadProbeFields(const json& root, Message* message) {
  if (root.contains(wire_keys::kTarget)) {
    message->target = ReadName(root.at(wire_keys::kTarget));
    message->target_address = ReadAddress(root.at(wire_keys::kTargetAddress));
  }
  const bool is_probe = message->kind == Message::Kind::kPing || message->kind == Message::Kind::kPingReq;
  if (is_probe && message->target.empty()) throw std::invalid_argument("target");
}

void ReadSyncFields(const json& root, Message* message) {
  if (root.contains(wire_keys::kMemberDigest))
    message->member_digest = ReadUnsigned(root.at(wire_keys::kMemberDigest));
  if (root.contains(wire_keys::kStateDigest))
    message->state_digest = ReadUnsigned(root.at(wire_keys::kStateDigest));
  if (root.contains(wire_keys::kMemberBuckets))
    message->member_buckets = ReadBucketDigests(root.at(wire_keys::kMemberBuckets));
  if (root.contains(wire_keys::kStateBuckets))
    message->state_buckets = ReadBucketDigests(root.at(wire_keys::kStateBuckets));
  if (root.contains(wire_keys::kRange)) message->range = ReadRange(root.at(wire_keys::kRange));
}

void ReadPayloadFields(const json& root, Message* message) {
  message->channel = ReadName(root.at(wire_keys::kChannel));
  if (message->channel.size() > kMaxChannelBytes) throw std::invalid_argument("the channel name is too long");
  message->payload = root.at(wire_keys::kPayload);
}

Message ReadMessage(const json& root) {
  Message message;
  message.kind = ReadEnum<Message::Kind>(root.at(wire_keys::kKind), Message::kKinds);
  message.sender = ReadUpdate(root.at(wire_keys::kSender));
  message.sequence = ReadUnsigned(root.at(wire_keys::kSequence));
  ReadProbeFields(root, &message);
  if (root.contains(wire_keys::kWantsReply))
    message.wants_reply = root.at(wire_keys::kWantsReply).get<bool>();
  if (root.contains(wire_keys::kState)) message.state = root.at(wire_keys::kState);
  ReadSyncFields(root, &message);
  if (root.contains(wire_keys::kLease)) message.lease = ReadLease(root.at(wire_keys::kLease));
  if (message.kind == Message::Kind::kLease && !message.lease)
    throw std::invalid_argument("a lease message has no lease field");
  if (message.kind == Message::Kind::kPayload) ReadPayloadFields(root, &message);
  for (const json& update : root.at(wire_keys::kUpdates)) message.updates.push_back(ReadUpdate(update));
  return message;
}

}  // namespace

std::variant<Message, DropReason> Decode(std::string_view fleet, std::span<const std::uint8_t> datagram) {
  if (datagram.size() > kMaxDatagramBytes) return DropReason::kOversized;
  try {
    const json root = json::from_msgpack(datagram.begin(), datagram.end());
    if (ReadUnsigned(root.at(wire_keys::kVersion)) != kProtocolVersion) return DropReason::kOtherVersion;
    if (root.at(wire_keys::kFleet).get<std::string>() != fleet) return DropReason::kForeignFleet;
    return ReadMessage(root);
  } catch (const json::exception&) {
    return DropReason::kMalformed;
  } catch (const std::invalid_argument&) {
    return DropReason::kMalformed;
  }
}

}  // namespace load_balancer::fleet
