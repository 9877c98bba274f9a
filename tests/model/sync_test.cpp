// SPDX-License-Identifier: Apache-2.0
//
// Tests of the exchange of differing entries (docs/fleet.md, "Exchange of what differs"): the split into
// chunks, the exchange between two states, and fleets with members of an older version, which has no bucket
// digests.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "fleet/state/entry_codec.h"
#include "fleet/sync/chunks.h"
#include "fleet/wire/codec.h"
#include "model/fleet/federation.h"
#include "registers.h"

namespace load_balancer::model {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
namespace fl = fleet;

// Checks that a chunk lists exactly the entries that its range contains, that no entry is in two chunks, and
// that the last range is marked as truncated exactly if an entry of the buckets is in no chunk.
RC_GTEST_PROP(ChunksProperty, AChunkListsExactlyTheEntriesInItsRange, ()) {
  const auto count = std::size_t{8} << *rc::gen::inRange(0, 5);
  fl::BucketSet buckets{count, {}};
  for (std::size_t i = 0; i < count; ++i) buckets.indices.set(i, *rc::gen::arbitrary<bool>());
  std::vector<fl::HashedEntry<std::uint64_t>> all;
  for (const std::uint64_t hash :
       *rc::gen::unique<std::vector<std::uint64_t>>(rc::gen::arbitrary<std::uint64_t>()))
    all.push_back({hash * 0x9e3779b97f4a7c15u, *rc::gen::inRange<std::size_t>(1, 100), hash});
  const auto start = *rc::gen::arbitrary<std::uint64_t>();
  const auto max_chunks = *rc::gen::inRange<std::size_t>(1, 20);
  const auto chunks = fl::SplitIntoChunks(all, buckets, start, 200, max_chunks);
  RC_ASSERT(!chunks.empty() && chunks.size() <= max_chunks);
  bool is_any_missing = false;
  for (const auto& hashed : all) {
    int times_listed = 0;
    for (const auto& [range, entries] : chunks) {
      const bool is_listed = std::find(entries.begin(), entries.end(), hashed.entry) != entries.end();
      RC_ASSERT(is_listed == range.Contains(hashed.hash));
      times_listed += is_listed;
    }
    RC_ASSERT(times_listed <= 1);
    is_any_missing |= times_listed == 0 && buckets.indices.test(fl::BucketOf(hashed.hash, count));
  }
  RC_ASSERT(is_any_missing == chunks.back().range.is_truncated);
}

// Checks that two states that differ in some entries are equal after one member has answered the digests of
// the other and has received its missing entries in return. The two messages must carry few entries outside
// the differing buckets.
RC_GTEST_PROP(StateProperty, TwoStatesAreEqualAfterAnAnswerAndItsReply, ()) {
  const auto common = *rc::gen::inRange<std::size_t>(0, 1000);
  const auto different = *rc::gen::inRange<std::size_t>(1, 6);
  testing::Registers a("a"), b("b");
  const auto both = {&a, &b};
  for (std::size_t i = 0; i < common + different; ++i) {
    const auto entries = nlohmann::json::array(
        {fl::Pack({testing::ValueOf(i), {(testing::kNow << fl::kCounterBits) + i, "writer"}})});
    // 0: only a receives the entry; 1: only b; 2: both.
    const auto receiver = i < common ? 2 : *rc::gen::inRange(0, 2);
    if (receiver != 1) a.state.Receive(testing::kNow, entries);
    if (receiver != 0) b.state.Receive(testing::kNow, entries);
  }
  const std::size_t accepted_before = a.accepted.size() + b.accepted.size();
  const auto digests_of_a =
      a.state.ComputeBucketDigests(testing::kNow, fl::BucketDigests::CountFor(a.state.size()));
  std::size_t sent = 0;
  for (const auto& chunk :
       b.state.PackDiffering(testing::kNow, digests_of_a, *rc::gen::arbitrary<std::uint64_t>(), 1000, 1000)) {
    auto listed = nlohmann::json::array();
    for (const nlohmann::json& entry : chunk.entries) listed.push_back(entry);
    sent += listed.size();
    a.state.Receive(testing::kNow, listed);
    for (const auto& missing : a.state.PackMissing(testing::kNow, listed, chunk.range, 1000)) {
      b.state.Receive(testing::kNow, missing);
      sent += missing.size();
    }
  }
  RC_ASSERT(a.state.ComputeDigest(testing::kNow) == b.state.ComputeDigest(testing::kNow));
  RC_ASSERT(a.accepted.size() + b.accepted.size() == accepted_before + different);
  RC_ASSERT(sent <= different * (4 + 3 * std::max<std::size_t>(8, (common + different) / 64)));
  for (auto* registers : both) RC_ASSERT(registers->rejected.empty());
}

// A member of an older version, which neither sends nor understands bucket digests and ranges.
class OlderProgram : public FleetProgram {
 public:
  OlderProgram(Host& host, const FleetSetup& setup) : OlderProgram(std::make_unique<Sender>(host), setup) {}
  void Receive(const Packet& packet) override {
    Packet older = packet;
    older.content =
        std::make_shared<const std::any>(WithoutNewFields(std::any_cast<const Datagram&>(*packet.content)));
    FleetProgram::Receive(older);
  }

 private:
  // Removes the new fields from each datagram that the member sends.
  struct Sender : Host {
    explicit Sender(Host& wrapped) : host(wrapped) {}
    Time Now() const override { return host.Now(); }
    std::uint64_t Wall() const override { return host.Wall(); }
    void Send(const Endpoint& to, std::any content, std::size_t bytes) override {
      host.Send(to, WithoutNewFields(std::any_cast<Datagram>(std::move(content))), bytes);
    }
    std::map<std::string, std::string>& Disk() override { return host.Disk(); }
    Moment TrueTime() const override { return host.TrueTime(); }
    const Endpoint& Address() const override { return host.Address(); }
    const std::string& Name() const override { return host.Name(); }
    Host& host;
  };
  // Returns the datagram without the fields that the older version does not have.
  static Datagram WithoutNewFields(Datagram datagram) {
    datagram.message.member_buckets.reset();
    datagram.message.state_buckets.reset();
    datagram.message.range.reset();
    return datagram;
  }
  OlderProgram(std::unique_ptr<Sender> sender, const FleetSetup& setup)
      : FleetProgram(*sender, setup), sender_(std::move(sender)) {}

  std::unique_ptr<Sender> sender_;
};

// Fleets in which no member, every second member or each member is of the older version. With the parameter
// n, every n-th member is of the older version; 0: none is.
class MixedVersionsTest : public ::testing::TestWithParam<std::size_t> {};

// Checks that all members agree on the membership and the state after a partition in which members of both
// halves announced ejections.
TEST_P(MixedVersionsTest, ViewsAndStatesConvergeAfterAPartition) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    FederationOptions options;
    options.members = 12;
    options.fleet.probe_interval = milliseconds(500);
    options.fleet.sync_interval = seconds(2);
    const std::size_t older_step = GetParam();
    Federation federation(seed, options,
                          [older_step](Host& host, const FleetSetup& setup) -> std::unique_ptr<FleetProgram> {
                            if (older_step > 0 && setup.machine % older_step == 0)
                              return std::make_unique<OlderProgram>(host, setup);
                            return std::make_unique<FleetProgram>(host, setup);
                          });
    World& world = federation.world();
    world.RunUntil(seconds(10));
    const auto partition = world.network().Partition({{0, 1, 2, 3, 4, 5}, {6, 7, 8, 9, 10, 11}});
    world.RunUntil(seconds(40));
    for (const std::size_t announcer : {0, 1, 6, 7})
      federation.member(announcer, kSitePool)
          ->Announce(fl::Ejection{std::to_string(announcer), world.host(announcer).Wall() + 19000, 9, 9});
    world.RunUntil(seconds(41));
    world.network().End(partition);
    world.RunUntil(seconds(58));
    EXPECT_EQ(FindDifferingStates(federation, kSitePool).size(), 0u) << seed;
    EXPECT_EQ(federation.member(0, kSitePool)->state().Ejections(world.host(0).Wall()).size(), 4u) << seed;
    world.RunUntil(seconds(100));
    EXPECT_EQ(FindWrongViews(federation, kSitePool).size(), 0u) << seed;
  }
}

INSTANTIATE_TEST_SUITE_P(Older, MixedVersionsTest, ::testing::Values(0, 2, 1));

// Counts the bytes of the updates in all syncs and checks that each sync fits a datagram.
struct SyncBytesObserver : Observer {
  void OnMessageSent(const PoolMember& sender, const Endpoint&, const fl::Message& message) override {
    if (message.kind != fl::Message::Kind::kSync) return;
    for (const fl::Update& update : message.updates) bytes += fl::EncodedSize(update);
    EXPECT_LE(message.updates.size() + fl::Encode(sender.options().section.name, message).size(),
              fl::kMaxDatagramBytes);
  }
  std::size_t bytes = 0;
};

// In a fleet of 100, a restarted member receives the table of 4 kB. About half of the other members do not
// know of the restart yet, so some of them exchange a few buckets. The limit is a quarter of the bytes that
// would be sent if each of the 100 members received the table.
TEST(SyncTest, SendsLittleMoreThanTheDifferingEntries) {
  SyncBytesObserver observer;
  FederationOptions options;
  options.members = 100;
  options.fleet.sync_interval = seconds(2);
  options.observer = &observer;
  Federation federation(3, options);
  World& world = federation.world();
  world.RunUntil(seconds(20));
  EXPECT_EQ(FindWrongViews(federation, kSitePool).size(), 0u);
  observer.bytes = 0;
  world.Restart(7);
  world.RunUntil(seconds(22));
  EXPECT_GT(observer.bytes, 100u * 40) << "the restarted member did not receive the table";
  EXPECT_LT(observer.bytes, 100u * 4000 / 4);
}

}  // namespace
}  // namespace load_balancer::model
