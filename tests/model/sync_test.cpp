// SPDX-License-Identifier: Apache-2.0
//
// The exchange of what differs (docs/fleet.md): its chunks, two tables, two states, and fleets with members
// of the version before it.
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

// Whatever the entries, all in the buckets are listed once, each in the slice of its chunk and no other's, in
// chunks that fit; and what no slice holds is what is said to be more.
RC_GTEST_PROP(ChunksProperty, RangesListAllThatTheyContain, ()) {
  const auto count = std::size_t{8} << *rc::gen::inRange(0, 5);
  fl::BucketSet buckets{count, {}};
  for (std::size_t i = 0; i < count; ++i) buckets.indices.set(i, *rc::gen::arbitrary<bool>());
  std::vector<fl::HashedEntry<std::uint64_t>> all;
  for (const std::uint64_t hash :
       *rc::gen::unique<std::vector<std::uint64_t>>(rc::gen::arbitrary<std::uint64_t>()))
    all.push_back({hash * 0x9e3779b97f4a7c15u, *rc::gen::inRange<std::size_t>(1, 100), hash});
  const auto start = *rc::gen::arbitrary<std::uint64_t>();
  const auto most = *rc::gen::inRange<std::size_t>(1, 20);
  const auto chunks = fl::SplitIntoChunks(all, buckets, start, 200, most);
  RC_ASSERT(!chunks.empty() && chunks.size() <= most);
  bool more = false;
  for (const auto& each : all) {
    int listed = 0;
    for (const auto& [range, entries] : chunks) {
      const bool here = std::find(entries.begin(), entries.end(), each.entry) != entries.end();
      RC_ASSERT(here == range.Contains(each.hash));
      listed += here;
    }
    RC_ASSERT(listed <= 1);
    more |= listed == 0 && buckets.indices.test(fl::BucketOf(each.hash, count));
  }
  RC_ASSERT(more == chunks.back().range.is_truncated);
}

// Two states that have some entries in common and some apart are the same after an answer and its return,
// which carry hardly more than the buckets that differ.
RC_GTEST_PROP(StateProperty, AnAnswerAndItsReturnBringTwoStatesTogether, ()) {
  const auto common = *rc::gen::inRange<std::size_t>(0, 1000);
  const auto apart = *rc::gen::inRange<std::size_t>(1, 6);
  testing::Registers a("a"), b("b");
  const auto both = {&a, &b};
  for (std::size_t i = 0; i < common + apart; ++i) {
    const auto entries = nlohmann::json::array(
        {fl::Pack({testing::ValueOf(i), {(testing::kNow << fl::kCounterBits) + i, "writer"}})});
    const auto who = i < common ? 2 : *rc::gen::inRange(0, 2);
    if (who != 1) a.state.Receive(testing::kNow, entries);
    if (who != 0) b.state.Receive(testing::kNow, entries);
  }
  const std::size_t before = a.accepted.size() + b.accepted.size();
  const auto theirs =
      a.state.ComputeBucketDigests(testing::kNow, fl::BucketDigests::CountFor(a.state.size()));
  std::size_t sent = 0;
  for (const auto& chunk :
       b.state.PackDiffering(testing::kNow, theirs, *rc::gen::arbitrary<std::uint64_t>(), 1000, 1000)) {
    auto listed = nlohmann::json::array();
    for (const nlohmann::json& entry : chunk.entries) listed.push_back(entry);
    sent += listed.size();
    a.state.Receive(testing::kNow, listed);
    for (const auto& back : a.state.PackMissing(testing::kNow, listed, chunk.range, 1000)) {
      b.state.Receive(testing::kNow, back);
      sent += back.size();
    }
  }
  RC_ASSERT(a.state.ComputeDigest(testing::kNow) == b.state.ComputeDigest(testing::kNow));
  RC_ASSERT(a.accepted.size() + b.accepted.size() == before + apart);
  RC_ASSERT(sent <= apart * (4 + 3 * std::max<std::size_t>(8, (common + apart) / 64)));
  for (auto* each : both) RC_ASSERT(each->rejected.empty());
}

// One of the version before: it knows no buckets and no slices, and sends none.
class OlderProgram : public FleetProgram {
 public:
  OlderProgram(Host& host, const FleetSetup& setup) : OlderProgram(std::make_unique<Sender>(host), setup) {}
  void Receive(const Packet& packet) override {
    Packet older = packet;
    older.content = std::make_shared<const std::any>(Older(std::any_cast<const Datagram&>(*packet.content)));
    FleetProgram::Receive(older);
  }

 private:
  struct Sender : Host {
    explicit Sender(Host& of) : host(of) {}
    Time Now() const override { return host.Now(); }
    std::uint64_t Wall() const override { return host.Wall(); }
    void Send(const Endpoint& to, std::any content, std::size_t bytes) override {
      host.Send(to, Older(std::any_cast<Datagram>(std::move(content))), bytes);
    }
    std::map<std::string, std::string>& Disk() override { return host.Disk(); }
    Moment TrueTime() const override { return host.TrueTime(); }
    const Endpoint& Address() const override { return host.Address(); }
    const std::string& Name() const override { return host.Name(); }
    Host& host;
  };
  static Datagram Older(Datagram datagram) {
    datagram.message.member_buckets.reset();
    datagram.message.state_buckets.reset();
    datagram.message.range.reset();
    return datagram;
  }
  OlderProgram(std::unique_ptr<Sender> sender, const FleetSetup& setup)
      : FleetProgram(*sender, setup), sender_(std::move(sender)) {}

  std::unique_ptr<Sender> sender_;
};

// Fleets of which none, every second or each member is of the version before, cut into halves that both tell
// verdicts: after the cut, views are right and states the same.
class VersionsTest : public ::testing::TestWithParam<std::size_t> {};

TEST_P(VersionsTest, ViewsAndStatesComeTogetherAfterACut) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    FederationOptions options;
    options.members = 12;
    options.fleet.probe_interval = milliseconds(500);
    options.fleet.sync_interval = seconds(2);
    const std::size_t older = GetParam();
    Federation federation(seed, options,
                          [older](Host& host, const FleetSetup& setup) -> std::unique_ptr<FleetProgram> {
                            if (older > 0 && setup.machine % older == 0)
                              return std::make_unique<OlderProgram>(host, setup);
                            return std::make_unique<FleetProgram>(host, setup);
                          });
    World& world = federation.world();
    world.RunUntil(seconds(10));
    const auto cut = world.network().Partition({{0, 1, 2, 3, 4, 5}, {6, 7, 8, 9, 10, 11}});
    world.RunUntil(seconds(40));
    for (const std::size_t teller : {0, 1, 6, 7})
      federation.member(teller, kSitePool)
          ->Announce(fl::Ejection{std::to_string(teller), world.host(teller).Wall() + 19000, 9, 9});
    world.RunUntil(seconds(41));
    world.network().End(cut);
    world.RunUntil(seconds(58));
    EXPECT_EQ(FindDifferingStates(federation, kSitePool).size(), 0u) << seed;
    EXPECT_EQ(federation.member(0, kSitePool)->state().Ejections(world.host(0).Wall()).size(), 4u) << seed;
    world.RunUntil(seconds(100));
    EXPECT_EQ(FindWrongViews(federation, kSitePool).size(), 0u) << seed;
  }
}

INSTANTIATE_TEST_SUITE_P(Older, VersionsTest, ::testing::Values(0, 2, 1));

// The bytes of syncs alone, while one member restarts and everything else stands still.
struct SyncBytes : Observer {
  void OnMessageSent(const PoolMember& by, const Endpoint&, const fl::Message& message) override {
    if (message.kind != fl::Message::Kind::kSync) return;
    for (const fl::Update& update : message.updates) bytes += fl::EncodedSize(update);
    EXPECT_LE(message.updates.size() + fl::Encode(by.options().section.name, message).size(),
              fl::kMaxDatagramBytes);
  }
  std::size_t bytes = 0;
};

// In a fleet of 100 the one that restarts gets the table of 4 kB, and the others, half of whom do not know of
// it yet, exchange some buckets.
TEST(SyncTest, SendsHardlyMoreThanDiffers) {
  SyncBytes watch;
  FederationOptions options;
  options.members = 100;
  options.fleet.sync_interval = seconds(2);
  options.observer = &watch;
  Federation federation(3, options);
  World& world = federation.world();
  world.RunUntil(seconds(20));
  EXPECT_EQ(FindWrongViews(federation, kSitePool).size(), 0u);
  watch.bytes = 0;
  world.Restart(7);
  world.RunUntil(seconds(22));
  EXPECT_GT(watch.bytes, 100u * 40) << "the one that restarted has the table";
  EXPECT_LT(watch.bytes, 100u * 4000 / 4);
}

}  // namespace
}  // namespace load_balancer::model
