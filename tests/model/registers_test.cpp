// SPDX-License-Identifier: Apache-2.0
//
// Tests of the replicated state of single members without a network, for cases that tests with real processes
// cannot produce.
#include "registers.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "fleet/state/entry_codec.h"
#include "fleet/wire/codec.h"

namespace load_balancer::testing {
namespace {

TEST(Registers, TheLaterWriteWinsAtBothMembersInAnyOrderAndDigestsAgree) {
  Registers a("a"), b("b");
  a.state.Write(kNow, fl::Ejection{"s-1", kNow + 2000, 3, 3});
  b.state.Write(kNow + 1, fl::Ejection{"s-1", kNow + 4000, 5, 6});
  EXPECT_NE(a.state.ComputeDigest(kNow + 2), b.state.ComputeDigest(kNow + 2));
  b.ReceiveAll(a, kNow + 2);
  EXPECT_TRUE(b.accepted.empty()) << "b accepted an entry that is older than its own";
  a.ReceiveAll(b, kNow + 2);
  ASSERT_EQ(a.accepted.size(), 1u);
  EXPECT_EQ(std::get<fl::Ejection>(a.accepted[0].content).attempts, 6);
  EXPECT_EQ(a.state.ComputeDigest(kNow + 2), b.state.ComputeDigest(kNow + 2));
  a.state.Write(kNow - 500, fl::Ejection{"s-1", kNow + 3000, 2, 2});
  b.ReceiveAll(a, kNow + 3);
  EXPECT_EQ(b.accepted.size(), 1u) << "the clock of a did not advance to the timestamp that it observed";
}

TEST(Registers, EntriesExpireAtTheirBoundAndAffinitiesAreLimitedInNumber) {
  Registers a("a"), b("b");
  a.state.Write(kNow, fl::Ejection{"s-1", kNow + 2000, 3, 3});
  for (std::uint64_t key = 1; key <= 5; ++key) a.state.Write(kNow + key, fl::KeyAffinity{key, "s-2"});
  EXPECT_EQ(a.state.Summarize(kNow + 10).affinities.count, 3u);
  EXPECT_EQ(a.state.Summarize(kNow + 10).ejections.count, 1u);
  const auto packed = a.state.PackAll(kNow + 10, 1000);
  for (const auto& entries : packed) b.state.Receive(kNow + 4005, entries);
  EXPECT_TRUE(b.accepted.empty());
  EXPECT_EQ(b.rejected, std::vector<fl::EntryRejection>(4, fl::EntryRejection::kStale));
  EXPECT_EQ(a.state.Summarize(kNow + 4005).affinities.count + a.state.Summarize(kNow + 4005).ejections.count,
            0u);
}

TEST(Registers, EntriesAreSentABoundedNumberOfTimesWithinTheAvailableBytes) {
  Registers a("a");
  for (int i = 0; i < 40; ++i)
    a.state.Write(kNow, fl::Ejection{"server-" + std::to_string(i), kNow + 2000, 3, 3});
  std::map<std::string, int> times_sent;
  for (int i = 0; i < 200; ++i) {
    const auto entries = a.state.PackPiggyback(kNow, 300, 4);
    EXPECT_LE(nlohmann::json::to_msgpack(entries).size(), 300u);
    for (const auto& entry : entries) ++times_sent[entry.at(1)];
  }
  EXPECT_EQ(times_sent.size(), 40u);
  for (const auto& [server, times] : times_sent) EXPECT_EQ(times, 4) << server;
}

TEST(Registers, MalformedEntriesAreCountedAndTheOthersAccepted) {
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

TEST(Registers, TheFencedValuesOfAHundredSitesAreReplicated) {
  Registers a("a"), b("b");
  for (std::size_t site = 0; site < 100; ++site) EXPECT_TRUE(a.state.Write(kNow, ValueOf(site)));
  b.ReceiveAll(a, kNow);
  EXPECT_EQ(b.accepted.size(), 100u);
  EXPECT_EQ(a.state.ComputeDigest(kNow), b.state.ComputeDigest(kNow));
}

// A member that invents roles and values cannot make others store more than the maximum number of each. The
// stored tokens expire, so the capacity becomes available again.
TEST(Registers, AFaultyPeerCannotExceedTheLimitsOfRolesAndValues) {
  Registers faulty("faulty"), one("one");
  const auto receive = [&](const fl::FencedValue& value, fl::UnixMs now) {
    one.state.Receive(now, nlohmann::json::array({fl::Pack({value, {now << fl::kCounterBits, "faulty"}})}));
  };
  for (std::size_t i = 0; i < fl::kMaxLeasedRoles + 100; ++i) receive(ValueOf(i), kNow);
  EXPECT_EQ(one.state.Summarize(kNow).fenced_values, fl::kMaxLeasedRoles);
  EXPECT_EQ(one.rejected, std::vector<fl::EntryRejection>(100, fl::EntryRejection::kFull));
  for (std::size_t i = 0; i < fl::kMaxFencedValues; ++i) {
    fl::FencedValue value = ValueOf(1);
    value.key.append("/").append(std::to_string(i));
    receive(value, kNow);
  }
  EXPECT_EQ(one.state.Summarize(kNow).fenced_values, fl::kMaxFencedValues);
  receive(ValueOf(1), kNow + 1);
  EXPECT_EQ(one.state.Summarize(kNow + 1).fenced_values, fl::kMaxFencedValues)
      << "a newer write of a stored value changed the number of values";
  const fl::UnixMs later = kNow + fl::kMaxValueLifetime + 1;
  one.rejected.clear();
  receive(ValueOf(9999, later + 1000), later);
  EXPECT_EQ(one.rejected.size(), 0u);
}

TEST(Registers, ATokenIsStoredUntilNoValueWithASmallerTokenCanLast) {
  Registers one("one");
  const auto pack = [](std::uint64_t token, fl::UnixMs written_at, fl::UnixMs lifetime) {
    const fl::Entry entry{fl::FencedValue{"role", "key", token, written_at + lifetime, 1},
                          {written_at << fl::kCounterBits, "other"}};
    return nlohmann::json::array({fl::Pack(entry)});
  };
  one.state.Receive(kNow, pack(5, kNow, 1000));
  one.state.Receive(kNow + fl::kMaxValueLifetime - 1, pack(4, kNow - 1, fl::kMaxValueLifetime));
  EXPECT_EQ(one.accepted.size(), 1u);
  one.state.Receive(kNow + fl::kMaxValueLifetime - 1, pack(4, kNow, fl::kMaxValueLifetime));
  EXPECT_EQ(one.rejected.back(), fl::EntryRejection::kFenced);
}

TEST(Registers, AValueThatOthersWouldRejectIsNotWritten) {
  Registers one("one");
  const auto write = [&](const std::string& value, std::uint64_t token, fl::UnixMs lifetime) {
    return one.state.Write(kNow, fl::FencedValue{"role", "key", token, kNow + lifetime, value});
  };
  EXPECT_FALSE(write(std::string(fl::kMaxValueBytes, 'x'), 2, 1000));
  EXPECT_FALSE(write("", 2, fl::kMaxValueLifetime + 1));
  EXPECT_TRUE(write("", 2, 1000));
  EXPECT_FALSE(write("", 1, 1000));
  using enum fl::EntryRejection;
  EXPECT_EQ(one.rejected, (std::vector<fl::EntryRejection>{kOversized, kImplausible, kFenced}));
}

// The largest entry fits a message with the longest names. If it does not fit the remaining bytes, smaller
// entries are sent without it.
TEST(Registers, TheLargestEntryFitsAMessageAndDoesNotBlockSmallerOnes) {
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

// Successive lease holders of two roles write values, each of which may reach either of two members or none.
// After one exchange, both members store the same values.
RC_GTEST_PROP(RegistersProperty, TwoMembersAgreeAfterAnExchangeWhateverTheyReceivedBefore, ()) {
  Registers a("a"), b("b");
  const auto count = *rc::gen::inRange(1, 40);
  for (int i = 0; i < count; ++i) {
    const auto token = *rc::gen::inRange<std::uint64_t>(1, 5);
    const std::string role(1, *rc::gen::element('x', 'y'));
    const std::string key = role + *rc::gen::element('1', '2', '3');
    const fl::Entry entry{fl::FencedValue{role, key, token, kNow + 5000, i},
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
