// SPDX-License-Identifier: Apache-2.0
//
// Tests of the payloads that layers above the fleet send: their encoding, and their delivery between nodes in
// one process.
#include <gtest/gtest.h>

#include <array>

#include "cluster.h"
#include "fleet/node/node.h"
#include "fleet/wire/codec.h"

namespace load_balancer::testing::fleet {
namespace {

namespace fl = load_balancer::fleet;
using fl::Message;

const Udp::endpoint kLongestAddress(boost::asio::ip::make_address("1111:2222:3333:4444:5555:6666:7777:8888"),
                                    65535);

// Returns the largest possible update, whose names consist of the given letter.
fl::Update LargestUpdate(char letter) {
  return {std::string(fl::kMaxNameBytes, letter), kLongestAddress, fl::MemberState::kSuspect, ~0ull,
          std::string(fl::kMaxNameBytes, letter)};
}

Message PayloadMessage(std::string channel, nlohmann::json payload) {
  Message message;
  message.kind = Message::Kind::kPayload;
  message.sender = LargestUpdate('s');
  message.channel = std::move(channel);
  message.payload = std::move(payload);
  return message;
}

TEST(Payload, IsDecodedUnchangedAtTheMaximumSizeWithTheLongestNames) {
  const std::string fleet(fl::kMaxNameBytes, 'f');
  const nlohmann::json largest = std::string(fl::kMaxPayloadBytes - 3, 'p');
  ASSERT_EQ(nlohmann::json::to_msgpack(largest).size(), fl::kMaxPayloadBytes);
  const auto decoded =
      fl::Decode(fleet, fl::Encode(fleet, PayloadMessage(std::string(fl::kMaxChannelBytes, 'c'), largest)));
  ASSERT_TRUE(std::holds_alternative<Message>(decoded));
  EXPECT_EQ(std::get<Message>(decoded).payload, largest);
  EXPECT_EQ(std::get<Message>(decoded).channel, std::string(fl::kMaxChannelBytes, 'c'));
}

TEST(Payload, IsDroppedAsMalformedIfAFieldIsInvalidOrTheKindUnknown) {
  const auto well_formed = nlohmann::json::from_msgpack(fl::Encode("f", PayloadMessage("quota", 1)));
  const std::vector<std::pair<const char*, nlohmann::json>> changes{
      {"c", ""}, {"c", std::string(fl::kMaxChannelBytes + 1, 'c')}, {"c", 1}, {"k", Message::kKinds}};
  for (const auto& [key, value] : changes) {
    auto malformed = well_formed;
    malformed[key] = value;
    const auto decoded = fl::Decode("f", nlohmann::json::to_msgpack(malformed));
    ASSERT_TRUE(std::holds_alternative<fl::DropReason>(decoded)) << malformed;
    EXPECT_EQ(std::get<fl::DropReason>(decoded), fl::DropReason::kMalformed) << malformed;
  }
}

TEST(Wire, AMessageOfAnyKindFilledWithinRemainingBytesFitsADatagram) {
  for (int kind = 0; kind < Message::kKinds; ++kind) {
    Message message = PayloadMessage("quota", std::string(500, 'p'));
    message.kind = static_cast<Message::Kind>(kind);
    message.target = std::string(fl::kMaxNameBytes, 't');
    message.target_address = kLongestAddress;
    message.member_digest = message.state_digest = message.sequence = ~0ull;
    if (message.kind == Message::Kind::kLease)
      message.lease = fl::LeaseMessage{.lease_name = std::string(fl::kMaxNameBytes, 'd'),
                                       .token = ~0ull,
                                       .holder = std::string(2 * fl::kMaxNameBytes, 'h'),
                                       .retry_after_ms = ~0ull,
                                       .requested_token = ~0ull,
                                       .request_number = ~0ull,
                                       .term_ms = ~0ull,
                                       .drift_ms = ~0ull,
                                       .voter_set_hash = ~0ull};
    if (message.kind == Message::Kind::kSync) {
      message.member_buckets = fl::BucketDigests(fl::kMaxBuckets);
      message.range = fl::DigestRange{{fl::kMaxBuckets, ~0u}, ~0ull, ~0ull, true};
    }
    const std::size_t capacity = fl::RemainingBytes("f", message), size = fl::EncodedSize(LargestUpdate('u'));
    message.updates.assign(capacity / size, LargestUpdate('u'));
    // Fills the remaining bytes with state, because its packed size can be chosen exactly.
    if (const std::size_t rest = capacity % size; rest > 3) message.state = std::string(rest - 3, 's');
    EXPECT_LE(fl::Encode("f", message).size(), fl::kMaxDatagramBytes) << kind;
  }
}

struct IgnoringListener : fl::FleetListener {
  bool IsListed(const std::string&) const override { return true; }
  void OnEjection(const fl::Ejection&) override {}
  void OnKeyAffinity(const fl::KeyAffinity&, fl::UnixMs) override {}
  void OnLimitShare(int) override {}
  void OnJoined() override {}
  void OnLeaseStatus(const std::string&, fl::LeaseStatus) override {}
  void OnFencedValue(const fl::FencedValue&) override {}
};

TEST(Payload, IsDeliveredOnlyBetweenNodesOfTheSameFleet) {
  boost::asio::io_context io;
  IgnoringListener listener;
  const std::array<LeasedPort, 3> ports;
  const auto address = [&](std::size_t i) {
    return Udp::endpoint(boost::asio::ip::make_address("127.0.0.1"), ports[i].port());
  };
  const auto section_of = [&](std::size_t i, const char* fleet) {
    fl::FleetSection section;
    section.on = true;
    section.name = fleet;
    section.bind = section.advertise = address(i);
    return section;
  };
  fl::NodeOptions federation_options;
  federation_options.component = "federation";
  fl::Node one(io, section_of(0, "site"), "n1", 1, listener),
      two(io, section_of(1, "site"), "n2", 2, listener),
      federation_node(io, section_of(2, "federation"), "n1", 3, listener, federation_options);
  std::vector<std::string> received;
  const auto record = [&](const fl::Update& sender, const nlohmann::json& payload) {
    received.push_back(sender.name + " " + payload.dump());
  };
  two.Subscribe("quota", record);
  federation_node.Subscribe("quota", record);
  EXPECT_FALSE(one.Send(address(1), "", 1));
  EXPECT_FALSE(one.Send(address(1), "quota", std::string(fl::kMaxPayloadBytes, 'x')));
  EXPECT_TRUE(one.Send(address(1), "spill", 1));  // a channel without subscriber
  EXPECT_TRUE(one.Send(address(2), "quota", 2));  // a node of another fleet
  EXPECT_TRUE(one.Send(address(1), "quota", 3));
  const auto deadline = std::chrono::steady_clock::now() + kMaxWait;
  while ((received.empty() || federation_node.counters().received == 0) &&
         std::chrono::steady_clock::now() < deadline)
    io.run_one_for(milliseconds(10));
  EXPECT_EQ(received, std::vector<std::string>{"n1 3"});
  const auto dropped = [](const fl::Node& node, fl::DropReason reason) {
    return node.counters().dropped[static_cast<std::size_t>(reason)];
  };
  EXPECT_EQ(dropped(two, fl::DropReason::kOtherChannel), 1u);
  EXPECT_EQ(dropped(federation_node, fl::DropReason::kForeignFleet), 1u);
  for (fl::Node* node : {&one, &two, &federation_node}) node->Stop();
  io.run_for(milliseconds(10));
}

}  // namespace
}  // namespace load_balancer::testing::fleet
