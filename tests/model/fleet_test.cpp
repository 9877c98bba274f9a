// SPDX-License-Identifier: Apache-2.0
//
// The fleet's classes on the model: what docs/fleet.md bounds, under faults drawn from seeds.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "model/fault.h"
#include "model/fleet/federation.h"
#include "model/trace.h"

namespace load_balancer::model {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kInterval{500};

FederationOptions Options(std::size_t sites, std::size_t members) {
  FederationOptions options;
  options.sites = sites;
  options.members = members;
  options.fleet.probe_interval = kInterval;
  options.fleet.sync_interval = 10 * kInterval;
  options.wide = options.fleet;
  options.wide.probe_interval = 2 * kInterval;
  options.federated = sites > 1;
  return options;
}

fleet::MembershipOptions MembershipOf(const fleet::FleetSection& section) {
  fleet::MembershipOptions options;
  options.probe_interval = section.probe_interval;
  return options;
}

std::string Joined(const std::vector<std::string>& lines) {
  std::string all;
  for (const std::string& line : lines) all.append(line).append("\n");
  return all;
}

// Until both sides of a cut have one view again (docs/fleet.md), and as long again, since the sync that
// notices it may ask for another of several that are held as dead.
Moment ViewsBound(const fleet::FleetSection& section, std::size_t members) {
  return 2 * (Moment(section.sync_interval) + DetectionBound(MembershipOf(section), members));
}

class ConvergenceTest : public testing::TestWithParam<std::uint64_t> {};

// Faults of any of `kinds` (empty: all), from 10 s to 40 s.
Trace Draw(std::uint64_t seed, std::vector<FaultKind> kinds) {
  FaultOptions faults;
  faults.machines = 12;
  faults.count = 12;
  faults.from = seconds(10);
  faults.to = seconds(40);
  faults.most = seconds(15);
  faults.most_jump_ms = 100;  // a few of them are within max_clock_skew
  faults.kinds = std::move(kinds);
  return {seed, DrawFaults(seed, faults)};
}

TEST_P(ConvergenceTest, ViewsAgreeWithinTheBoundAfterFaultsEnd) {
  const FederationOptions options = Options(3, 4);
  const Trace trace = Draw(GetParam(), {});
  Federation federation(trace.seed, options);
  for (const Fault& fault : trace.faults) Inject(federation.world(), fault);
  federation.world().RunUntil(seconds(40) + ViewsBound(options.wide, federation.size()));
  for (const std::size_t pool : {kSitePool, kWidePool})
    EXPECT_EQ(Joined(WrongViews(federation, pool)), "") << Write(trace);
}

// Verdicts that are told while messages are lost, late, doubled and out of order, and members stand still and
// restart, are the same everywhere three syncs later.
TEST_P(ConvergenceTest, StatesAgreeThreeSyncsAfterFaultsEnd) {
  const FederationOptions options = Options(3, 4);
  const Trace trace = Draw(GetParam(), {FaultKind::kLoss, FaultKind::kDelay, FaultKind::kDuplicate,
                                        FaultKind::kReorder, FaultKind::kStall, FaultKind::kCrash});
  Federation federation(trace.seed, options);
  World& world = federation.world();
  for (const Fault& fault : trace.faults) Inject(world, fault);
  for (std::size_t i = 0; i < 24; ++i)
    world.At(seconds(38) + milliseconds(80 * i), [&federation, i] {
      PoolMember* teller = federation.member(i % federation.size(), i % 2);
      if (teller) teller->Announce(fleet::Ejection{std::to_string(i), teller->host().Wall() + 19900, 9, 9});
    });
  world.RunUntil(seconds(40) + 3 * options.fleet.sync_interval);
  std::size_t held = 0;
  for (const std::size_t pool : {kSitePool, kWidePool}) {
    EXPECT_EQ(Joined(WrongStates(federation, pool)), "") << Write(trace);
    held += federation.member(0, pool)->state().Ejections(world.host(0).Wall()).size();
  }
  EXPECT_GT(held, 5u);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ConvergenceTest, testing::Range<std::uint64_t>(1, 13));

// When each of the others holds the dead one as dead, and any live one as dead, which must not happen.
struct Deaths : Observer {
  std::map<std::string, Moment> seen;  // by who sees it
  std::size_t false_deaths = 0;
  std::string victim;
  void OnChanged(const PoolMember& by, const fleet::Member& member,
                 std::optional<fleet::MemberState>) override {
    if (member.update.state != fleet::MemberState::kDead) return;
    if (member.update.name == victim)
      seen.emplace(by.host().Name(), by.host().True());
    else
      ++false_deaths;
  }
};

class DetectionTest : public testing::TestWithParam<std::size_t> {};

TEST_P(DetectionTest, EveryMemberHoldsADeadOneAsDeadWithinTheBound) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    Deaths deaths;
    FederationOptions options = Options(1, GetParam());
    options.observer = &deaths;
    options.most_rate_error = 0.01;
    Federation federation(seed, options);
    World& world = federation.world();
    world.RunUntil(seconds(20));
    EXPECT_EQ(Joined(WrongViews(federation, kSitePool)), "");
    deaths.victim = world.host(1).Name();
    world.Crash(1);
    world.RunUntil(seconds(20) + DetectionBound(MembershipOf(options.fleet), GetParam()));
    EXPECT_EQ(deaths.seen.size(), GetParam() - 1) << "seed " << seed;
    EXPECT_EQ(deaths.false_deaths, 0u) << "seed " << seed;
  }
}

INSTANTIATE_TEST_SUITE_P(Sizes, DetectionTest, testing::Values(3, 5, 20, 50));

struct Takers : Observer {
  std::size_t taken = 0;
  void OnTaken(const PoolMember&, const fleet::Entry&) override { ++taken; }
};

// Verdicts of 2 s in fleets of five with 30% loss: of what is pushed and passed on, docs/fleet.md bounds the
// share of members that none reaches at 0.5%. Counted as passes, the pushes left 3% without.
TEST(VerdictTest, FewMembersMissAShortVerdictUnderLoss) {
  constexpr std::size_t kVerdicts = 500, kMembers = 5;
  Takers takers;
  for (std::uint64_t seed = 1; seed <= kVerdicts; ++seed) {
    FederationOptions options = Options(1, kMembers);
    options.observer = &takers;
    Federation federation(seed, options);
    World& world = federation.world();
    world.RunUntil(seconds(5));
    options.link.loss = 0.3;
    world.network().SetDefault(options.link);
    federation.member(0, kSitePool)->Announce(fleet::Ejection{"s-1", world.host(0).Wall() + 2000, 9, 9});
    world.RunUntil(seconds(7));
  }
  const std::size_t missed = kVerdicts * (kMembers - 1) - takers.taken;
  EXPECT_LE(missed, kVerdicts * (kMembers - 1) / 100) << missed;
}

// A member that lacks something gets it, too, when it is the one that is asked: here it asks itself only 3 s
// later.
TEST(SyncTest, GoesBothWays) {
  FederationOptions options = Options(1, 2);
  options.fleet.sync_interval = seconds(10);
  Takers takers;
  options.observer = &takers;
  Federation federation(1, options);
  World& world = federation.world();
  world.RunUntil(seconds(3));
  world.Restart(1);
  world.RunUntil(seconds(5));
  const auto cut = world.network().Cut({0}, {1});
  federation.member(0, kSitePool)->Announce(fleet::Ejection{"s-1", world.host(0).Wall() + 19000, 9, 9});
  world.RunUntil(seconds(7));
  world.network().End(cut);
  world.RunUntil(milliseconds(9900));
  EXPECT_EQ(takers.taken, 0u);
  world.RunUntil(milliseconds(10100));
  EXPECT_EQ(takers.taken, 1u);
}

// Holders crash one after another and come back, as voters, with their disk or without it: there is another
// within two terms and three drifts (docs/leases.md), and never two, whatever the clocks' rates are.
TEST(LeaseTest, PassesOnWithinTheBoundAndIsNeverHeldByTwo) {
  for (const bool with_disk : {true, false}) {
    FederationOptions options = Options(1, 5);
    options.seeds = 5;
    options.fleet.lease_term = seconds(2);
    options.duties = {{"treasurer", fleet::LeasedRoleKind::kExclusive}};
    options.most_rate_error = 0.02;
    Federation federation(7, options);
    World& world = federation.world();
    world.RunUntil(seconds(10));
    const Moment bound = 2 * Moment(options.fleet.lease_term) + 3 * Moment(options.fleet.lease_drift);
    for (int i = 0; i < 10; ++i) {
      const auto holders = Holders(federation, 0, kSitePool, "treasurer");
      ASSERT_EQ(holders.size(), 1u) << i;
      world.Crash(holders.front());
      const Moment by = world.now() + bound;
      while (world.now() < by) {
        world.RunUntil(world.now() + milliseconds(10));
        ASSERT_LE(Holders(federation, 0, kSitePool, "treasurer").size(), 1u) << i;
      }
      EXPECT_EQ(Holders(federation, 0, kSitePool, "treasurer").size(), 1u) << i;
      world.Restart(holders.front(), with_disk);
      world.RunUntil(world.now() + seconds(5));
    }
  }
}

}  // namespace
}  // namespace load_balancer::model
