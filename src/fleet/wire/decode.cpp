// SPDX-License-Identifier: Apache-2.0
#include <stdexcept>

#include "base/config/endpoint.h"
#include "fleet/wire/codec.h"

namespace load_balancer::fleet {
namespace {

using nlohmann::json;

// What follows throws json::exception or std::invalid_argument on anything out of form.
std::string NameIn(const json& value) {
  auto name = value.get<std::string>();
  if (name.empty() || name.size() > kMostName) throw std::invalid_argument("name");
  for (const char c : name)
    if (static_cast<unsigned char>(c) <= ' ' || c == 0x7f) throw std::invalid_argument("name");
  return name;
}

Udp::endpoint AddressIn(const json& value) {
  const auto address = ParseUdpEndpoint(value.get<std::string>());
  if (!address) throw std::invalid_argument("address");
  return *address;
}

std::uint64_t FigureIn(const json& value) {
  if (!value.is_number_unsigned()) throw std::invalid_argument("figure");
  return value.get<std::uint64_t>();
}

template <typename Enum>
Enum OneOf(const json& value, std::size_t count) {
  const std::uint64_t index = FigureIn(value);
  if (index >= count) throw std::invalid_argument("out of range");
  return static_cast<Enum>(index);
}

Update UpdateIn(const json& value) {
  Update update;
  update.name = NameIn(value.at(0));
  update.address = AddressIn(value.at(1));
  update.state = OneOf<MemberState>(value.at(2), kStates);
  update.incarnation = FigureIn(value.at(3));
  if (value.size() > 4) update.accuser = NameIn(value.at(4));
  return update;
}

LeaseMessage LeaseIn(const json& value) {
  LeaseMessage lease;
  lease.type = OneOf<LeaseMessage::Type>(value.at(0), kLeaseMessageTypes);
  lease.lease_name = NameIn(value.at(1));
  lease.token = FigureIn(value.at(2));
  lease.holder = value.at(3).get<std::string>();
  if (lease.holder.empty() || lease.holder.size() > 2 * kMostName) throw std::invalid_argument("holder");
  lease.retry_after_ms = FigureIn(value.at(4));
  lease.requested_token = FigureIn(value.at(5));
  if (value.size() <= 6) return lease;  // of a version without numbers of requests
  lease.request_number = FigureIn(value.at(6));
  lease.term_ms = FigureIn(value.at(7));
  lease.drift_ms = FigureIn(value.at(8));
  lease.voter_set_hash = FigureIn(value.at(9));
  lease.denial_reason = OneOf<LeaseMessage::DenialReason>(value.at(10), kDenialReasons);
  return lease;
}

Buckets BucketsIn(const json& value) {
  const auto buckets = Buckets::Unpack(value.get_binary());
  if (!buckets) throw std::invalid_argument("buckets");
  return *buckets;
}

Slice SliceIn(const json& value) {
  const auto& bits = value.at(0).get_binary();
  Slice slice;
  slice.count = bits.size() * 8;
  if (!IsCount(slice.count)) throw std::invalid_argument("slice");
  for (std::size_t i = 0; i < slice.count; ++i) slice.buckets.set(i, (bits[i / 8] >> (i % 8)) & 1);
  slice.from = FigureIn(value.at(1));
  slice.to = FigureIn(value.at(2));
  slice.more = value.at(3).get<bool>();
  return slice;
}

Message MessageIn(const json& root) {
  Message message;
  message.kind = OneOf<Message::Kind>(root.at("k"), Message::kKinds);
  message.sender = UpdateIn(root.at("m"));
  message.sequence = FigureIn(root.at("s"));
  if (root.contains("t")) {
    message.target = NameIn(root.at("t"));
    message.target_address = AddressIn(root.at("a"));
  }
  const bool probes = message.kind == Message::Kind::kPing || message.kind == Message::Kind::kPingReq;
  if (probes && message.target.empty()) throw std::invalid_argument("target");
  if (root.contains("r")) message.reply = root.at("r").get<bool>();
  if (root.contains("d")) message.state = root.at("d");
  if (root.contains("w")) message.table = FigureIn(root.at("w"));
  if (root.contains("h")) message.digest = FigureIn(root.at("h"));
  if (root.contains("b")) message.buckets = BucketsIn(root.at("b"));
  if (root.contains("e")) message.state_buckets = BucketsIn(root.at("e"));
  if (root.contains("x")) message.slice = SliceIn(root.at("x"));
  if (root.contains("l")) message.lease = LeaseIn(root.at("l"));
  if (message.kind == Message::Kind::kLease && !message.lease) throw std::invalid_argument("lease");
  if (message.kind == Message::Kind::kPayload) {
    message.channel = NameIn(root.at("c"));
    if (message.channel.size() > kMostChannel) throw std::invalid_argument("channel");
    message.payload = root.at("p");
  }
  for (const json& update : root.at("u")) message.updates.push_back(UpdateIn(update));
  return message;
}

}  // namespace

std::variant<Message, Drop> Decode(std::string_view fleet, std::span<const std::uint8_t> datagram) {
  if (datagram.size() > kMostDatagram) return Drop::kOversized;
  try {
    const json root = json::from_msgpack(datagram.begin(), datagram.end());
    if (FigureIn(root.at("v")) != kProtocolVersion) return Drop::kOtherVersion;
    if (root.at("f").get<std::string>() != fleet) return Drop::kForeignFleet;
    return MessageIn(root);
  } catch (const json::exception&) {
    return Drop::kMalformed;
  } catch (const std::invalid_argument&) {
    return Drop::kMalformed;
  }
}

}  // namespace load_balancer::fleet
