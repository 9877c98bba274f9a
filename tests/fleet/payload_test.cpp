// SPDX-License-Identifier: Apache-2.0
//
// What layers above the fleet send over it: the wire form, and two nodes in one process.
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

fl::Update Longest(char letter) {
  return {std::string(fl::kMaxNameBytes, letter), kLongestAddress, fl::MemberState::kSuspect, ~0ull,
          std::string(fl::kMaxNameBytes, letter)};
}

Message Payload(std::string channel, nlohmann::json payload) {
  Message message;
  message.kind = Message::Kind::kPayload;
  message.sender = Longest('s');
  message.channel = std::move(channel);
  message.payload = std::move(payload);
  return message;
}

TEST(Payload, ComesAsItWentAndFitsWithTheLongestNames) {
  const std::string fleet(fl::kMaxNameBytes, 'f');
  const nlohmann::json most = std::string(fl::kMaxPayloadBytes - 3, 'p');
  ASSERT_EQ(nlohmann::json::to_msgpack(most).size(), fl::kMaxPayloadBytes);
  const auto decoded =
      fl::Decode(fleet, fl::Encode(fleet, Payload(std::string(fl::kMaxChannelBytes, 'c'), most)));
  ASSERT_TRUE(std::holds_alternative<Message>(decoded));
  EXPECT_EQ(std::get<Message>(decoded).payload, most);
  EXPECT_EQ(std::get<Message>(decoded).channel, std::string(fl::kMaxChannelBytes, 'c'));
}

TEST(Payload, WhatIsOutOfFormAndAKindThatIsNotKnownAreDroppedAsMalformed) {
  const auto whole = nlohmann::json::from_msgpack(fl::Encode("f", Payload("quota", 1)));
  const std::vector<std::pair<const char*, nlohmann::json>> changes{
      {"c", ""}, {"c", std::string(fl::kMaxChannelBytes + 1, 'c')}, {"c", 1}, {"k", Message::kKinds}};
  for (const auto& [key, value] : changes) {
    auto bent = whole;
    bent[key] = value;
    const auto decoded = fl::Decode("f", nlohmann::json::to_msgpack(bent));
    ASSERT_TRUE(std::holds_alternative<fl::DropReason>(decoded)) << bent;
    EXPECT_EQ(std::get<fl::DropReason>(decoded), fl::DropReason::kMalformed) << bent;
  }
}

TEST(Wire, WhatRemainingBytesLeavesFitsBesideEveryKind) {
  for (int kind = 0; kind < Message::kKinds; ++kind) {
    Message message = Payload("quota", std::string(500, 'p'));
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
    const std::size_t room = fl::RemainingBytes("f", message), size = fl::EncodedSize(Longest('u'));
    message.updates.assign(room / size, Longest('u'));
    // The rest goes to shared state, whose entries are packed to the byte.
    if (const std::size_t rest = room % size; rest > 3) message.state = std::string(rest - 3, 's');
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

TEST(Payload, GoesBetweenNodesOfTheSamePoolAlone) {
  boost::asio::io_context io;
  IgnoringListener listener;
  const std::array<LeasedPort, 3> ports;
  const auto address = [&](std::size_t i) {
    return Udp::endpoint(boost::asio::ip::make_address("127.0.0.1"), ports[i].port());
  };
  const auto section = [&](std::size_t i, const char* pool) {
    fl::FleetSection made;
    made.on = true;
    made.name = pool;
    made.bind = made.advertise = address(i);
    return made;
  };
  fl::NodeOptions other;
  other.component = "federation";
  fl::Node one(io, section(0, "site"), "n1", 1, listener), two(io, section(1, "site"), "n2", 2, listener),
      wide(io, section(2, "federation"), "n1", 3, listener, other);
  std::vector<std::string> heard;
  const auto hear = [&](const fl::Update& sender, const nlohmann::json& payload) {
    heard.push_back(sender.name + " " + payload.dump());
  };
  two.Subscribe("quota", hear);
  wide.Subscribe("quota", hear);
  EXPECT_FALSE(one.Send(address(1), "", 1));
  EXPECT_FALSE(one.Send(address(1), "quota", std::string(fl::kMaxPayloadBytes, 'x')));
  EXPECT_TRUE(one.Send(address(1), "spill", 1));  // nobody has subscribed
  EXPECT_TRUE(one.Send(address(2), "quota", 2));  // of another pool
  EXPECT_TRUE(one.Send(address(1), "quota", 3));
  const auto until = std::chrono::steady_clock::now() + kMaxWait;
  while ((heard.empty() || wide.counters().received == 0) && std::chrono::steady_clock::now() < until)
    io.run_one_for(milliseconds(10));
  EXPECT_EQ(heard, std::vector<std::string>{"n1 3"});
  const auto dropped = [](const fl::Node& node, fl::DropReason why) {
    return node.counters().dropped[static_cast<std::size_t>(why)];
  };
  EXPECT_EQ(dropped(two, fl::DropReason::kOtherChannel), 1u);
  EXPECT_EQ(dropped(wide, fl::DropReason::kForeignFleet), 1u);
  for (fl::Node* node : {&one, &two, &wide}) node->Stop();
  io.run_for(milliseconds(10));
}

}  // namespace
}  // namespace load_balancer::testing::fleet
