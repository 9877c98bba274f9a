// SPDX-License-Identifier: Apache-2.0
#include "model/world.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "model/fault.h"
#include "numbered_sender.h"

namespace load_balancer::model {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMachines = 4;
constexpr Span kInterval = milliseconds(10);

struct TenSecondRun {
  Recording recording;
  World world;
  explicit TenSecondRun(std::uint64_t seed, const std::vector<Fault>& faults = {}, Link link = {},
                        MachineClock clock = {})
      : world(seed) {
    world.network().SetDefault(link);
    AddNumberedSenders(world, kMachines, kInterval, &recording, clock);
    for (const Fault& fault : faults) Inject(world, fault);
    world.RunUntil(seconds(10));
  }
  std::size_t Between(std::size_t from, std::size_t to, Moment begin, Moment end) const {
    return static_cast<std::size_t>(std::count_if(
        recording.received.begin(), recording.received.end(), [&](const Recording::Reception& packet) {
          return packet.sender == from && packet.receiver == to && packet.sent >= begin && packet.sent < end;
        }));
  }
  std::size_t Ticks(std::size_t machine, Moment begin, Moment end) const {
    return static_cast<std::size_t>(
        std::count_if(recording.ticks.begin(), recording.ticks.end(), [&](const auto& tick) {
          return tick.first == machine && tick.second >= begin && tick.second < end;
        }));
  }
};

// The number of packets per second from one machine to another without faults: each machine sends about 100
// packets per second, divided among three others.
constexpr std::size_t kPacketsPerSecond = 30;

TEST(WorldTest, RunsWithTheSameSeedHaveTheSameEvents) {
  FaultOptions options;
  options.machines = kMachines;
  options.to = seconds(10);
  std::set<std::uint64_t> digests;
  for (std::uint64_t seed = 0; seed < 8; ++seed) {
    const auto faults = DrawFaults(seed, options);
    const TenSecondRun one(seed, faults, Link{0.1, 0.1, 0.1}), other(seed, faults, Link{0.1, 0.1, 0.1});
    EXPECT_EQ(one.world.event_digest(), other.world.event_digest());
    EXPECT_GT(one.world.events(), 1000u);
    digests.insert(one.world.event_digest());
  }
  EXPECT_EQ(digests.size(), 8u);
}

struct LinkCase {
  const char* name;
  Link link;
  double min_share, max_share;  // packets received per packet sent
  bool has_reordering;
};
class LinkTest : public testing::TestWithParam<LinkCase> {};

TEST_P(LinkTest, DelaysLosesDuplicatesAndReordersAsConfigured) {
  const LinkCase& param = GetParam();
  const TenSecondRun run(1, {}, param.link);
  const double share =
      static_cast<double>(run.recording.received.size()) / static_cast<double>(run.recording.ticks.size());
  EXPECT_GE(share, param.min_share);
  EXPECT_LE(share, param.max_share);
  bool has_reordering = false;
  std::map<std::pair<std::size_t, std::size_t>, std::size_t> last;
  for (const auto& packet : run.recording.received) {
    EXPECT_GE(packet.received - packet.sent, param.link.min_delay);
    EXPECT_LE(packet.received - packet.sent,
              param.link.max_delay + (param.link.reorder > 0 ? param.link.max_reorder_delay : Moment(0)));
    auto& before = last[{packet.sender, packet.receiver}];
    has_reordering |= packet.number < before;
    before = std::max(before, packet.number);
  }
  EXPECT_EQ(has_reordering, param.has_reordering);
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
  std::vector<std::size_t> machines;
  double magnitude;
  // The number of packets received while the fault lasts, from 2 s to 4 s, as a share of the number without
  // faults: from machine 0 to 1, from 1 to 0, and from 2 to 3.
  double forward, back, others;
};
class FaultTest : public testing::TestWithParam<FaultCase> {};

TEST_P(FaultTest, AffectsOnlyItsMachinesAndOnlyForItsDuration) {
  const FaultCase& param = GetParam();
  const TenSecondRun run(3, {{seconds(2), seconds(2), param.kind, param.machines, param.magnitude}});
  const auto share = [&](std::size_t from, std::size_t to, Moment begin, Moment end) {
    return static_cast<double>(run.Between(from, to, begin, end)) /
           (kPacketsPerSecond * std::chrono::duration<double>(end - begin).count());
  };
  const auto during = [&](std::size_t from, std::size_t to) {
    return share(from, to, seconds(2), seconds(4));
  };
  EXPECT_NEAR(during(0, 1), param.forward, 0.25);
  EXPECT_NEAR(during(1, 0), param.back, 0.25);
  EXPECT_NEAR(during(2, 3), param.others, 0.25);
  for (std::size_t from = 0; from < kMachines; ++from)
    for (std::size_t to = 0; to < kMachines; ++to) {
      if (from == to) continue;
      EXPECT_NEAR(share(from, to, seconds(0), seconds(2)), 1, 0.15);
      EXPECT_NEAR(share(from, to, seconds(5), seconds(9)), 1, 0.15);
    }
}

// A crashed or stalled machine sends nothing. Packets to a crashed machine are lost; packets to a stalled one
// are queued.
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

TEST(FaultsTest, DelayAndReorderingEndWithTheFault) {
  const std::vector<Fault> faults{{seconds(2), seconds(2), FaultKind::kDelay, {0}, 80},
                                  {seconds(6), seconds(2), FaultKind::kReorder, {0}, 0.5}};
  const TenSecondRun run(5, faults);
  Moment max_delays[5]{};  // by the two-second period in which the affected packets were sent
  std::size_t late = 0;
  for (const auto& packet : run.recording.received) {
    const bool is_affected = packet.sender == 0 || packet.receiver == 0;
    auto& max_delay = max_delays[std::min<Moment::rep>(4, packet.sent / seconds(2))];
    if (is_affected) max_delay = std::max(max_delay, packet.received - packet.sent);
    late += !is_affected && packet.received - packet.sent > Link{}.max_delay;
  }
  EXPECT_EQ(late, 0u);
  EXPECT_NEAR(static_cast<double>(max_delays[1].count()) / 1e6, 80, 5);
  EXPECT_NEAR(static_cast<double>(max_delays[3].count()), static_cast<double>(kMaxReorderDelay.count()), 5e7);
  for (const int period : {0, 2, 4}) EXPECT_LE(max_delays[period], Link{}.max_delay);
}

TEST(FaultsTest, AStalledMachineHandlesQueuedPacketsInOrderBeforeItsTick) {
  const TenSecondRun run(5, {{seconds(2), seconds(2), FaultKind::kStall, {1}, 0}});
  EXPECT_EQ(run.Ticks(1, seconds(2), seconds(4)), 0u);
  std::vector<Recording::Reception> at_once;
  for (const auto& packet : run.recording.received)
    if (packet.receiver == 1 && packet.received == seconds(4)) at_once.push_back(packet);
  EXPECT_GT(at_once.size(), 100u);
  EXPECT_TRUE(std::is_sorted(at_once.begin(), at_once.end(),
                             [](const auto& a, const auto& b) { return a.sent < b.sent; }));
  EXPECT_EQ(run.Ticks(1, seconds(4), seconds(4) + kInterval), 1u);
}

TEST(FaultsTest, AStalledMachineQueuesAtMostTheMaximum) {
  const TenSecondRun run(5, {{seconds(1), seconds(6), FaultKind::kStall, {1}, 0}});
  const auto at_once =
      std::count_if(run.recording.received.begin(), run.recording.received.end(),
                    [](const auto& packet) { return packet.receiver == 1 && packet.received == seconds(7); });
  EXPECT_EQ(static_cast<std::size_t>(at_once), kMaxQueuedPackets);
}

TEST(FaultsTest, TheDiskSurvivesACrashUnlessTheFaultDiscardsIt) {
  for (const bool with_disk : {true, false}) {
    const TenSecondRun run(
        5, {{seconds(2), seconds(1), with_disk ? FaultKind::kCrash : FaultKind::kCrashNoDisk, {1}, 0}});
    EXPECT_EQ(run.recording.starts.size(), kMachines + 1);
    std::size_t first = SIZE_MAX;
    for (const auto& packet : run.recording.received)
      if (packet.sender == 1 && packet.received > seconds(3)) first = std::min(first, packet.number);
    EXPECT_EQ(first > 100, with_disk) << first;
  }
}

TEST(ClockTest, AMachineTicksAtTheRateOfItsOwnClock) {
  for (const double rate : {0.9, 0.9999, 1.0, 1.0001, 1.25}) {
    const MachineClock clock{rate, std::chrono::hours(5), 1000};
    EXPECT_EQ(clock.MomentOf(clock.At(seconds(100))), Moment(seconds(100)));
    const TenSecondRun run(1, {}, {}, clock);
    EXPECT_NEAR(static_cast<double>(run.Ticks(0, seconds(0), seconds(10))), 1000 * rate, 2);
  }
}

TEST(ClockTest, AWallClockJumpLeavesTheMonotonicClockUnchanged) {
  TenSecondRun run(1, {{seconds(2), Moment(0), FaultKind::kWallJump, {0}, -30000}});
  EXPECT_EQ(run.world.host(0).Wall(), kWallStart + 10000 - 30000);
  EXPECT_EQ(run.world.host(1).Wall(), kWallStart + 10000);
  EXPECT_EQ(run.world.host(0).Now(), run.world.host(1).Now());
}

TEST(WorldTest, RunsActionsInOrderAndRejectsADuplicateAddress) {
  World world(1);
  Recording recording;
  AddNumberedSenders(world, 2, kInterval, &recording);
  std::vector<int> order;
  world.At(seconds(1), [&] { order.push_back(1); });
  world.At(milliseconds(500), [&] { order.push_back(0); });
  world.At(seconds(1), [&] { order.push_back(2); });
  world.RunUntil(seconds(1));
  EXPECT_EQ(order, (std::vector<int>{0, 1, 2}));
  EXPECT_EQ(world.now(), Moment(seconds(1)));
  EXPECT_THROW(AddNumberedSenders(world, 1, kInterval, &recording), std::invalid_argument);
  EXPECT_EQ(world.packets(0) * 100, world.bytes(0));
}

}  // namespace
}  // namespace load_balancer::model
