// SPDX-License-Identifier: Apache-2.0
#include <utility>

#include "fleet/wire/codec.h"
#include "fleet/wire/message_keys.h"

namespace load_balancer::fleet {
namespace {

using nlohmann::json;

constexpr std::size_t kBitsPerByte = 8;

json Pack(const Update& update) {
  json packed = json::array(
      {update.name, FormatEndpoint(update.address), static_cast<int>(update.state), update.incarnation});
  if (!update.accuser.empty()) packed.push_back(update.accuser);
  return packed;
}

// Encodes the set with one bit per bucket.
json Pack(const BucketSet& buckets) {
  json::binary_t::container_type bits(buckets.count / kBitsPerByte);
  for (std::size_t i = 0; i < buckets.count; ++i) {
    std::uint8_t& byte = bits[i / kBitsPerByte];
    byte = static_cast<std::uint8_t>(byte | (buckets.indices.test(i) << (i % kBitsPerByte)));
  }
  return json::binary(std::move(bits));
}

json Pack(const DigestRange& range) {
  return json::array({Pack(range.buckets), range.first, range.last, range.is_truncated});
}

json Pack(const BucketDigests& digests) { return json::binary(digests.Pack()); }

json Pack(const LeaseMessage& lease) {
  return json::array({static_cast<unsigned>(lease.type), lease.lease_name, lease.token, lease.holder,
                      lease.retry_after_ms, lease.requested_token, lease.request_number, lease.term_ms,
                      lease.drift_ms, lease.voter_set_hash, static_cast<unsigned>(lease.denial_reason)});
}

void PackSyncFields(const Message& message, json* root) {
  if (message.member_digest != 0) (*root)[wire_keys::kMemberDigest] = message.member_digest;
  if (message.state_digest != 0) (*root)[wire_keys::kStateDigest] = message.state_digest;
  if (message.member_buckets) (*root)[wire_keys::kMemberBuckets] = Pack(*message.member_buckets);
  if (message.state_buckets) (*root)[wire_keys::kStateBuckets] = Pack(*message.state_buckets);
  if (message.range) (*root)[wire_keys::kRange] = Pack(*message.range);
}

}  // namespace

std::vector<std::uint8_t> Encode(std::string_view fleet, const Message& message) {
  json root{{wire_keys::kVersion, kProtocolVersion},
            {wire_keys::kFleet, fleet},
            {wire_keys::kKind, static_cast<int>(message.kind)},
            {wire_keys::kSender, Pack(message.sender)},
            {wire_keys::kSequence, message.sequence}};
  if (!message.target.empty()) {
    root[wire_keys::kTarget] = message.target;
    root[wire_keys::kTargetAddress] = FormatEndpoint(message.target_address);
  }
  if (message.wants_reply) root[wire_keys::kWantsReply] = true;
  if (!message.state.is_null()) root[wire_keys::kState] = message.state;
  PackSyncFields(message, &root);
  if (message.lease) root[wire_keys::kLease] = Pack(*message.lease);
  if (message.kind == Message::Kind::kPayload) {
    root[wire_keys::kChannel] = message.channel;
    root[wire_keys::kPayload] = message.payload;
  }
  json updates = json::array();
  for (const Update& update : message.updates) updates.push_back(Pack(update));
  root[wire_keys::kUpdates] = std::move(updates);
  return json::to_msgpack(root);
}

}  // namespace load_balancer::fleet
