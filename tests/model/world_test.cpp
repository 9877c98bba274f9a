// SPDX-License-Identifier: Apache-2.0
#include "model/world.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "numbered_sender.h"
#include "model/fault.h"

namespace load_balancer::model {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMachines = 4;
constexpr Span kEvery = milliseconds(10);

struct Played {
  Seen seen;
  World world;
  explicit Played(std::uint64_t seed, const std::vector<Fault>& faults = {}, Link link = {},
                  MachineClock clock = {})
      : world(seed) {
    world.network().SetDefault(link);
    AddChatters(world, kMachines, kEvery, &seen, clock);
    for (const Fault& fault : faults) Inject(world, fault);
    world.RunUntil(seconds(10));
  }
  std::size_t Between(std::size_t from, std::size_t to, Moment begin, Moment end) const {
    return static_cast<std::size_t>(
        std::count_if(seen.received.begin(), seen.received.end(), [&](const Seen::One& one) {
          return one.from == from && one.by == to && one.sent >= begin && one.sent < end;
        }));
  }
  std::size_t Ticks(std::size_t of, Moment begin, Moment end) const {
    return static_cast<std::size_t>(std::count_if(
        seen.ticks.begin(), seen.ticks.end(),
        [&](const auto& tick) { return tick.first == of && tick.second >= begin && tick.second < end; }));
  }
};

// Each sends about a third of 100 packets a second to each other one.
constexpr std::size_t kUsual = 30;

TEST(WorldTest, TheSameSeedGivesTheSameRun) {
  FaultOptions options;
  options.machines = kMachines;
  options.to = seconds(10);
  std::set<std::uint64_t> histories;
  for (std::uint64_t seed = 0; seed < 8; ++seed) {
    const auto faults = DrawFaults(seed, options);
    const Played one(seed, faults, Link{0.1, 0.1, 0.1}), other(seed, faults, Link{0.1, 0.1, 0.1});
    EXPECT_EQ(one.world.history(), other.world.history());
    EXPECT_GT(one.world.events(), 1000u);
    histories.insert(one.world.history());
  }
  EXPECT_EQ(histories.size(), 8u);
}

struct LinkCase {
  const char* name;
  Link link;
  double least, most;  // packets received per packet sent
  bool overtaken;
};
class LinkTest : public testing::TestWithParam<LinkCase> {};

TEST_P(LinkTest, DoesAsStated) {
  const LinkCase& param = GetParam();
  const Played run(1, {}, param.link);
  const double share =
      static_cast<double>(run.seen.received.size()) / static_cast<double>(run.seen.ticks.size());
  EXPECT_GE(share, param.least);
  EXPECT_LE(share, param.most);
  bool overtaken = false;
  std::map<std::pair<std::size_t, std::size_t>, std::size_t> last;
  for (const auto& one : run.seen.received) {
    EXPECT_GE(one.at - one.sent, param.link.least);
    EXPECT_LE(one.at - one.sent, param.link.most + (param.link.reorder > 0 ? param.link.hold : Moment(0)));
    auto& before = last[{one.from, one.by}];
    overtaken |= one.number < before;
    before = std::max(before, one.number);
  }
  EXPECT_EQ(overtaken, param.overtaken);
}

INSTANTIATE_TEST_SUITE_P(
    All, LinkTest,
    testing::Values(
        LinkCase{"clean", {}, 0.99, 1, false}, LinkCase{"loss", {0.3}, 0.66, 0.74, false},
        LinkCase{"duplicate", {0, 0.2}, 1.17, 1.23, false},
        LinkCase{"reorder", {0, 0, 0.2, milliseconds(1), milliseconds(2), milliseconds(200)}, 0.97, 1, true},
        LinkCase{"delay", {0, 0, 0, milliseconds(50), milliseconds(60)}, 0.98, 1, false}),
    [](const auto& param) { return std::string(param.param.name); });

struct FaultCase {
  const char* name;
  FaultKind kind;
  std::vector<std::size_t> who;
  double figure;
  // Of what is sent from 2 s to 4 s, while it lasts, received of 0 by 1, 1 by 0, 2 by 3: as a share.
  double there, back, others;
};
class FaultTest : public testing::TestWithParam<FaultCase> {};

TEST_P(FaultTest, HitsWhomItNamesWhileItLasts) {
  const FaultCase& param = GetParam();
  const Played run(3, {{seconds(2), seconds(2), param.kind, param.who, param.figure}});
  const auto share = [&](std::size_t from, std::size_t to, Moment begin, Moment end) {
    return static_cast<double>(run.Between(from, to, begin, end)) /
           (kUsual * std::chrono::duration<double>(end - begin).count());
  };
  const auto during = [&](std::size_t from, std::size_t to) {
    return share(from, to, seconds(2), seconds(4));
  };
  EXPECT_NEAR(during(0, 1), param.there, 0.25);
  EXPECT_NEAR(during(1, 0), param.back, 0.25);
  EXPECT_NEAR(during(2, 3), param.others, 0.25);
  for (std::size_t from = 0; from < kMachines; ++from)
    for (std::size_t to = 0; to < kMachines; ++to) {
      if (from == to) continue;
      EXPECT_NEAR(share(from, to, seconds(0), seconds(2)), 1, 0.15);
      EXPECT_NEAR(share(from, to, seconds(5), seconds(9)), 1, 0.15);
    }
}

// A crashed or stalled machine sends nothing; what comes to a crashed one is lost, to a stalled one waits.
INSTANTIATE_TEST_SUITE_P(
    All, FaultTest,
    testing::Values(FaultCase{"crash", FaultKind::kCrash, {1}, 0, 0, 0, 1},
                    FaultCase{"stall", FaultKind::kStall, {1}, 0, 1, 0, 1},
                    FaultCase{"cut", FaultKind::kCutOneWay, {0, 1}, 0, 0, 1, 1},
                    FaultCase{"partition", FaultKind::kPartition, {0, 2, 3}, 0, 0, 0, 1},
                    FaultCase{"loss", FaultKind::kLoss, {1}, 0.6, 0.4, 0.4, 1},
                    FaultCase{"loss_everywhere", FaultKind::kLoss, {}, 0.6, 0.4, 0.4, 0.4},
                    FaultCase{"duplicate", FaultKind::kDuplicate, {0}, 0.8, 1.8, 1.8, 1}),
    [](const auto& param) { return std::string(param.param.name); });

TEST(FaultsTest, DelayedAndReorderedPacketsComeLateWhileItLasts) {
  const std::vector<Fault> faults{{seconds(2), seconds(2), FaultKind::kDelay, {0}, 80},
                                  {seconds(6), seconds(2), FaultKind::kReorder, {0}, 0.5}};
  const Played run(5, faults);
  Moment latest[5]{};  // of what is sent in each two seconds
  std::size_t late = 0;
  for (const auto& one : run.seen.received) {
    const bool of_it = one.from == 0 || one.by == 0;
    auto& most = latest[std::min<Moment::rep>(4, one.sent / seconds(2))];
    if (of_it) most = std::max(most, one.at - one.sent);
    late += !of_it && one.at - one.sent > Link{}.most;
  }
  EXPECT_EQ(late, 0u);
  EXPECT_NEAR(static_cast<double>(latest[1].count()) / 1e6, 80, 5);
  EXPECT_NEAR(static_cast<double>(latest[3].count()), static_cast<double>(kReorderHold.count()), 5e7);
  for (const int quiet : {0, 2, 4}) EXPECT_LE(latest[quiet], Link{}.most);
}

TEST(FaultsTest, AStalledMachineHandlesWhatWaitedInOrderThenWhatIsDue) {
  const Played run(5, {{seconds(2), seconds(2), FaultKind::kStall, {1}, 0}});
  EXPECT_EQ(run.Ticks(1, seconds(2), seconds(4)), 0u);
  std::vector<Seen::One> at_once;
  for (const auto& one : run.seen.received)
    if (one.by == 1 && one.at == seconds(4)) at_once.push_back(one);
  EXPECT_GT(at_once.size(), 100u);
  EXPECT_TRUE(std::is_sorted(at_once.begin(), at_once.end(),
                             [](const auto& a, const auto& b) { return a.sent < b.sent; }));
  EXPECT_EQ(run.Ticks(1, seconds(4), seconds(4) + kEvery), 1u);
}

TEST(FaultsTest, AStalledMachineQueuesNoMoreThanItsBound) {
  const Played run(5, {{seconds(1), seconds(6), FaultKind::kStall, {1}, 0}});
  const auto at_once = std::count_if(run.seen.received.begin(), run.seen.received.end(),
                                     [](const auto& one) { return one.by == 1 && one.at == seconds(7); });
  EXPECT_EQ(static_cast<std::size_t>(at_once), kMostQueued);
}

TEST(FaultsTest, TheDiskOutlivesACrashUnlessItIsLost) {
  for (const bool kept : {true, false}) {
    const Played run(5,
                     {{seconds(2), seconds(1), kept ? FaultKind::kCrash : FaultKind::kCrashNoDisk, {1}, 0}});
    EXPECT_EQ(run.seen.starts.size(), kMachines + 1);
    std::size_t first = SIZE_MAX;
    for (const auto& one : run.seen.received)
      if (one.from == 1 && one.at > seconds(3)) first = std::min(first, one.number);
    EXPECT_EQ(first > 100, kept) << first;
  }
}

TEST(ClockTest, AMachineLivesByItsOwnRate) {
  for (const double rate : {0.9, 0.9999, 1.0, 1.0001, 1.25}) {
    const MachineClock clock{rate, std::chrono::hours(5), 1000};
    EXPECT_EQ(clock.When(clock.At(seconds(100))), Moment(seconds(100)));
    const Played run(1, {}, {}, clock);
    EXPECT_NEAR(static_cast<double>(run.Ticks(0, seconds(0), seconds(10))), 1000 * rate, 2);
  }
}

TEST(ClockTest, AWallClockJumpsAndTheMonotonicOneDoesNot) {
  Played run(1, {{seconds(2), Moment(0), FaultKind::kWallJump, {0}, -30000}});
  EXPECT_EQ(run.world.host(0).Wall(), kWallStart + 10000 - 30000);
  EXPECT_EQ(run.world.host(1).Wall(), kWallStart + 10000);
  EXPECT_EQ(run.world.host(0).Now(), run.world.host(1).Now());
}

TEST(WorldTest, ActsHappenInOrderAndACrashWithinACallWaits) {
  World world(1);
  Seen seen;
  AddChatters(world, 2, kEvery, &seen);
  std::vector<int> order;
  world.At(seconds(1), [&] { order.push_back(1); });
  world.At(milliseconds(500), [&] { order.push_back(0); });
  world.At(seconds(1), [&] { order.push_back(2); });
  world.RunUntil(seconds(1));
  EXPECT_EQ(order, (std::vector<int>{0, 1, 2}));
  EXPECT_EQ(world.now(), Moment(seconds(1)));
  EXPECT_THROW(AddChatters(world, 1, kEvery, &seen), std::invalid_argument);
  EXPECT_EQ(world.packets(0) * 100, world.bytes(0));
}

}  // namespace
}  // namespace load_balancer::model
