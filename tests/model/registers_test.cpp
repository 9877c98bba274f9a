// SPDX-License-Identifier: Apache-2.0
//
// The registers of shared state alone: what processes cannot be brought to show.
#include "registers.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "fleet/state/entry_codec.h"
#include "fleet/wire/codec.h"

namespace load_balancer::testing {
namespace {

TEST(Registers, TheLaterWriteWinsAtBothWhateverTheOrderAndDigestsAgree) {
  Registers a("a"), b("b");
  a.state.Write(kNow, fl::Ejection{"s-1", kNow + 2000, 3, 3});
  b.state.Write(kNow + 1, fl::Ejection{"s-1", kNow + 4000, 5, 6});
  EXPECT_NE(a.state.ComputeDigest(kNow + 2), b.state.ComputeDigest(kNow + 2));
  b.ReceiveAll(a, kNow + 2);
  EXPECT_TRUE(b.accepted.empty()) << "older than its own";
  a.ReceiveAll(b, kNow + 2);
  ASSERT_EQ(a.accepted.size(), 1u);
  EXPECT_EQ(std::get<fl::Ejection>(a.accepted[0].content).attempts, 6);
  EXPECT_EQ(a.state.ComputeDigest(kNow + 2), b.state.ComputeDigest(kNow + 2));
  a.state.Write(kNow - 500, fl::Ejection{"s-1", kNow + 3000, 2, 2});
  b.ReceiveAll(a, kNow + 3);
  EXPECT_EQ(b.accepted.size(), 1u) << "a clock that is behind follows what it has seen";
}

TEST(Registers, NothingOutlivesItsBoundAndTheMapOfKeysItsSize) {
  Registers a("a"), b("b");
  a.state.Write(kNow, fl::Ejection{"s-1", kNow + 2000, 3, 3});
  for (std::uint64_t key = 1; key <= 5; ++key) a.state.Write(kNow + key, fl::KeyAffinity{key, "s-2"});
  EXPECT_EQ(a.state.Summarize(kNow + 10).affinities.count, 3u);
  EXPECT_EQ(a.state.Summarize(kNow + 10).ejections.count, 1u);
  const auto late = a.state.PackAll(kNow + 10, 1000);
  for (const auto& entries : late) b.state.Receive(kNow + 4005, entries);
  EXPECT_TRUE(b.accepted.empty());
  EXPECT_EQ(b.rejected, std::vector<fl::EntryRejection>(4, fl::EntryRejection::kStale));
  EXPECT_EQ(a.state.Summarize(kNow + 4005).affinities.count + a.state.Summarize(kNow + 4005).ejections.count,
            0u);
}

TEST(Registers, EntriesArePassedOnABoundedNumberOfTimesWithinTheRoom) {
  Registers a("a");
  for (int i = 0; i < 40; ++i)
    a.state.Write(kNow, fl::Ejection{"server-" + std::to_string(i), kNow + 2000, 3, 3});
  std::map<std::string, int> passed;
  for (int i = 0; i < 200; ++i) {
    const auto entries = a.state.PackPiggyback(kNow, 300, 4);
    EXPECT_LE(nlohmann::json::to_msgpack(entries).size(), 300u);
    for (const auto& entry : entries) ++passed[entry.at(1)];
  }
  EXPECT_EQ(passed.size(), 40u);
  for (const auto& [server, times] : passed) EXPECT_EQ(times, 4) << server;
}

TEST(Registers, EntriesThatAreNoneAreCountedAndTheRestIsTaken) {
  Registers a("a");
  const std::uint64_t stamp = kNow << fl::kCounterBits;
  const nlohmann::json entries = nlohmann::json::array({7,
                                                        {"v"},
                                                        {"v", "", stamp, "b", kNow + 1, 1, 1},
                                                        {"x", "s", 1, "b"},
                                                        {"v", "s", stamp, "b", kNow + 1, -1, 1},
                                                        {"v", "s", stamp, "b", kNow + 1000, 3, 3}});
  a.state.Receive(kNow, nlohmann::json::from_msgpack(nlohmann::json::to_msgpack(entries)));
  a.state.Receive(kNow, "text");
  EXPECT_EQ(a.rejected, std::vector<fl::EntryRejection>(6, fl::EntryRejection::kMalformed));
  EXPECT_EQ(a.accepted.size(), 1u);
}

TEST(Registers, ValuesOfAHundredSitesAreStoredByAll) {
  Registers a("a"), b("b");
  for (std::size_t site = 0; site < 100; ++site) EXPECT_TRUE(a.state.Write(kNow, ValueOf(site)));
  b.ReceiveAll(a, kNow);
  EXPECT_EQ(b.accepted.size(), 100u);
  EXPECT_EQ(a.state.ComputeDigest(kNow), b.state.ComputeDigest(kNow));
}

// One that makes up duties or facts fills its room and no more, and only as long as fences last.
TEST(Registers, AFaultyPeerFillsNoMoreThanTheRoomForDutiesAndValues) {
  Registers faulty("faulty"), one("one");
  const auto tell = [&](const fl::FencedValue& fact, fl::UnixMs now) {
    one.state.Receive(now, nlohmann::json::array({fl::Pack({fact, {now << fl::kCounterBits, "faulty"}})}));
  };
  for (std::size_t i = 0; i < fl::kMaxDuties + 100; ++i) tell(ValueOf(i), kNow);
  EXPECT_EQ(one.state.Summarize(kNow).fenced_values, fl::kMaxDuties);
  EXPECT_EQ(one.rejected, std::vector<fl::EntryRejection>(100, fl::EntryRejection::kFull));
  for (std::size_t i = 0; i < fl::kMaxFencedValues; ++i) {
    fl::FencedValue value = ValueOf(1);
    value.key.append("/").append(std::to_string(i));
    tell(value, kNow);
  }
  EXPECT_EQ(one.state.Summarize(kNow).fenced_values, fl::kMaxFencedValues);
  tell(ValueOf(1), kNow + 1);
  EXPECT_EQ(one.state.Summarize(kNow + 1).fenced_values, fl::kMaxFencedValues) << "what is held is renewed";
  const fl::UnixMs later = kNow + fl::kMaxValueLifetime + 1;
  one.rejected.clear();
  tell(ValueOf(9999, later + 1000), later);
  EXPECT_EQ(one.rejected.size(), 0u);
}

TEST(Registers, AFenceHoldsUntilNothingFromBeforeItCanLast) {
  Registers one("one");
  const auto fact = [](std::uint64_t token, fl::UnixMs written, fl::UnixMs lasts) {
    const fl::Entry entry{fl::FencedValue{"duty", "key", token, written + lasts, 1},
                          {written << fl::kCounterBits, "other"}};
    return nlohmann::json::array({fl::Pack(entry)});
  };
  one.state.Receive(kNow, fact(5, kNow, 1000));
  one.state.Receive(kNow + fl::kMaxValueLifetime - 1, fact(4, kNow - 1, fl::kMaxValueLifetime));
  EXPECT_EQ(one.accepted.size(), 1u);
  one.state.Receive(kNow + fl::kMaxValueLifetime - 1, fact(4, kNow, fl::kMaxValueLifetime));
  EXPECT_EQ(one.rejected.back(), fl::EntryRejection::kFenced);
}

TEST(Registers, WhatOthersWouldRefuseIsNotWritten) {
  Registers one("one");
  const auto write = [&](const std::string& value, std::uint64_t token, fl::UnixMs lasts) {
    return one.state.Write(kNow, fl::FencedValue{"duty", "key", token, kNow + lasts, value});
  };
  EXPECT_FALSE(write(std::string(fl::kMaxValueBytes, 'x'), 2, 1000));
  EXPECT_FALSE(write("", 2, fl::kMaxValueLifetime + 1));
  EXPECT_TRUE(write("", 2, 1000));
  EXPECT_FALSE(write("", 1, 1000));
  using enum fl::EntryRejection;
  EXPECT_EQ(one.rejected, (std::vector<fl::EntryRejection>{kOversized, kImplausible, kFenced}));
}

// The largest entry goes with the longest names, and does not keep back what is smaller.
TEST(Registers, TheLargestEntryFitsAMessageAndBlocksNone) {
  fl::Message message;
  message.kind = fl::Message::Kind::kState;
  message.sender = {std::string(fl::kMaxNameBytes, 'n'),
                    {boost::asio::ip::make_address("1111:2222:3333:4444:5555:6666:7777:8888"), 65535},
                    fl::MemberState::kAlive,
                    ~0ull,
                    ""};
  const std::string fleet(fl::kMaxNameBytes, 'f');
  EXPECT_GE(fl::RemainingBytes(fleet, message), fl::kMaxEntryBytes + 3);
  Registers one("one");
  const std::string key(128, 'a');
  ASSERT_TRUE(one.state.Write(kNow, fl::FencedValue{"a", key, 1, kNow + 1000, std::string(790, 'x')}));
  ASSERT_TRUE(one.state.Write(kNow, ValueOf(1)));
  EXPECT_EQ(one.state.PackPiggyback(kNow, 500, 4).size(), 1u);
}

// Holders of two duties, one after another, write facts that reach two members in any order, some never:
// what they hold is the same after one exchange.
RC_GTEST_PROP(RegistersProperty, TwoMembersAgreeAfterAnExchangeWhateverReachedThem, ()) {
  Registers a("a"), b("b");
  const auto count = *rc::gen::inRange(1, 40);
  for (int i = 0; i < count; ++i) {
    const auto token = *rc::gen::inRange<std::uint64_t>(1, 5);
    const std::string duty(1, *rc::gen::element('x', 'y'));
    const std::string key = duty + *rc::gen::element('1', '2', '3');
    const fl::Entry entry{fl::FencedValue{duty, key, token, kNow + 5000, i},
                          {(kNow << fl::kCounterBits) + *rc::gen::inRange<std::uint64_t>(0, 100), "w"}};
    const auto packed = nlohmann::json::array({fl::Pack(entry)});
    if (*rc::gen::arbitrary<bool>()) a.state.Receive(kNow, packed);
    if (*rc::gen::arbitrary<bool>()) b.state.Receive(kNow, packed);
  }
  a.ReceiveAll(b, kNow);
  b.ReceiveAll(a, kNow);
  RC_ASSERT(a.state.ComputeDigest(kNow) == b.state.ComputeDigest(kNow));
}

}  // namespace
}  // namespace load_balancer::testing
