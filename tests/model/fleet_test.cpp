// SPDX-License-Identifier: Apache-2.0
//
// Tests the bounds of docs/fleet.md with the fleet's classes in the model, under faults drawn from seeds.
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
  options.federation_pool = options.fleet;
  options.federation_pool.probe_interval = 2 * kInterval;
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

// Returns twice the time within which both sides of a cut must have the same view again (docs/fleet.md). The
// factor is 2 because, if several members are seen as dead, the first sync may contact a different one of
// them.
Moment ViewsBound(const fleet::FleetSection& section, std::size_t members) {
  return 2 * (Moment(section.sync_interval) + DetectionBound(MembershipOf(section), members));
}

class ConvergenceTest : public testing::TestWithParam<std::uint64_t> {};

// Draws faults of the given kinds (if empty, of all kinds) between 10 s and 40 s.
Trace DrawTrace(std::uint64_t seed, std::vector<FaultKind> kinds) {
  FaultOptions faults;
  faults.machines = 12;
  faults.count = 12;
  faults.from = seconds(10);
  faults.to = seconds(40);
  faults.max_duration = seconds(15);
  faults.max_jump_ms = 100;  // several jumps together stay within max_clock_skew
  faults.kinds = std::move(kinds);
  return {seed, DrawFaults(seed, faults)};
}

TEST_P(ConvergenceTest, ViewsAgreeWithinTheBoundAfterFaultsEnd) {
  const FederationOptions options = Options(3, 4);
  const Trace trace = DrawTrace(GetParam(), {});
  Federation federation(trace.seed, options);
  for (const Fault& fault : trace.faults) Inject(federation.world(), fault);
  federation.world().RunUntil(seconds(40) + ViewsBound(options.federation_pool, federation.size()));
  for (const std::size_t pool : {kSitePool, kFederationPool})
    EXPECT_EQ(Joined(FindWrongViews(federation, pool)), "") << WriteTrace(trace);
}

// Ejections are announced while messages are lost, delayed, duplicated and reordered and while members stall
// and restart. Three sync intervals after the faults end, all members must have the same ejections.
TEST_P(ConvergenceTest, StatesAgreeThreeSyncsAfterFaultsEnd) {
  const FederationOptions options = Options(3, 4);
  const Trace trace = DrawTrace(GetParam(), {FaultKind::kLoss, FaultKind::kDelay, FaultKind::kDuplicate,
                                             FaultKind::kReorder, FaultKind::kStall, FaultKind::kCrash});
  Federation federation(trace.seed, options);
  World& world = federation.world();
  for (const Fault& fault : trace.faults) Inject(world, fault);
  for (std::size_t i = 0; i < 24; ++i)
    world.At(seconds(38) + milliseconds(80 * i), [&federation, i] {
      PoolMember* origin = federation.member(i % federation.size(), i % 2);
      if (origin) origin->Announce(fleet::Ejection{std::to_string(i), origin->host().Wall() + 19900, 9, 9});
    });
  world.RunUntil(seconds(40) + 3 * options.fleet.sync_interval);
  std::size_t ejections = 0;
  for (const std::size_t pool : {kSitePool, kFederationPool}) {
    EXPECT_EQ(Joined(FindDifferingStates(federation, pool)), "") << WriteTrace(trace);
    ejections += federation.member(0, pool)->state().Ejections(world.host(0).Wall()).size();
  }
  EXPECT_GT(ejections, 5u);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ConvergenceTest, testing::Range<std::uint64_t>(1, 13));

// Records when each member first sees the victim as dead, and counts live members that are seen as dead.
struct Deaths : Observer {
  std::map<std::string, Moment> seen;  // by the name of the observing member
  std::size_t false_deaths = 0;
  std::string victim;
  void OnMemberChanged(const PoolMember& by, const fleet::Member& member,
                       std::optional<fleet::MemberState>) override {
    if (member.update.state != fleet::MemberState::kDead) return;
    if (member.update.name == victim)
      seen.emplace(by.host().Name(), by.host().TrueTime());
    else
      ++false_deaths;
  }
};

class DetectionTest : public testing::TestWithParam<std::size_t> {};

TEST_P(DetectionTest, EveryMemberSeesACrashedMemberAsDeadWithinTheBound) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    Deaths deaths;
    FederationOptions options = Options(1, GetParam());
    options.observer = &deaths;
    options.max_rate_error = 0.01;
    Federation federation(seed, options);
    World& world = federation.world();
    world.RunUntil(seconds(20));
    EXPECT_EQ(Joined(FindWrongViews(federation, kSitePool)), "");
    deaths.victim = world.host(1).Name();
    world.Crash(1);
    world.RunUntil(seconds(20) + DetectionBound(MembershipOf(options.fleet), GetParam()));
    EXPECT_EQ(deaths.seen.size(), GetParam() - 1) << "seed " << seed;
    EXPECT_EQ(deaths.false_deaths, 0u) << "seed " << seed;
  }
}

INSTANTIATE_TEST_SUITE_P(Sizes, DetectionTest, testing::Values(3, 5, 20, 50));

// Counts the entries that members have accepted.
struct AcceptedEntries : Observer {
  std::size_t count = 0;
  void OnEntryAccepted(const PoolMember&, const fleet::Entry&) override { ++count; }
};

// Announces ejections of 2 s in fleets of five members with 30% loss. docs/fleet.md bounds the share of
// members that neither the push nor the gossip reaches at 0.5%; the test allows 1%. When a push counted as a
// gossip transmission, 3% were not reached.
TEST(EjectionTest, FewMembersMissAShortEjectionUnderLoss) {
  constexpr std::size_t kEjections = 500, kMembers = 5;
  AcceptedEntries accepted;
  for (std::uint64_t seed = 1; seed <= kEjections; ++seed) {
    FederationOptions options = Options(1, kMembers);
    options.observer = &accepted;
    Federation federation(seed, options);
    World& world = federation.world();
    world.RunUntil(seconds(5));
    options.link.loss = 0.3;
    world.network().SetDefault(options.link);
    federation.member(0, kSitePool)->Announce(fleet::Ejection{"s-1", world.host(0).Wall() + 2000, 9, 9});
    world.RunUntil(seconds(7));
  }
  const std::size_t missed = kEjections * (kMembers - 1) - accepted.count;
  EXPECT_LE(missed, kEjections * (kMembers - 1) / 100) << missed;
}

// A member must receive missing entries also when the other member starts the sync. In this test the member
// that misses an entry starts its own sync only 3 s later.
TEST(SyncTest, ExchangesEntriesInBothDirections) {
  FederationOptions options = Options(1, 2);
  options.fleet.sync_interval = seconds(10);
  AcceptedEntries accepted;
  options.observer = &accepted;
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
  EXPECT_EQ(accepted.count, 0u);
  world.RunUntil(milliseconds(10100));
  EXPECT_EQ(accepted.count, 1u);
}

// The holder, which is also a voter, crashes ten times and restarts with or without its disk. Another member
// must hold the lease within two terms and three drifts (docs/leases.md), and two members must never hold it
// at the same time, at any clock rates within the drift.
TEST(LeaseTest, MovesToAnotherMemberWithinTheBoundAndNeverHasTwoHolders) {
  for (const bool with_disk : {true, false}) {
    FederationOptions options = Options(1, 5);
    options.seeds = 5;
    options.fleet.lease_term = seconds(2);
    options.duties = {{"treasurer", fleet::LeasedRoleKind::kExclusive}};
    options.max_rate_error = 0.02;
    Federation federation(7, options);
    World& world = federation.world();
    world.RunUntil(seconds(10));
    const Moment bound = 2 * Moment(options.fleet.lease_term) + 3 * Moment(options.fleet.lease_drift);
    for (int i = 0; i < 10; ++i) {
      const auto holders = FindHolders(federation, 0, kSitePool, "treasurer");
      ASSERT_EQ(holders.size(), 1u) << i;
      world.Crash(holders.front());
      const Moment by = world.now() + bound;
      while (world.now() < by) {
        world.RunUntil(world.now() + milliseconds(10));
        ASSERT_LE(FindHolders(federation, 0, kSitePool, "treasurer").size(), 1u) << i;
      }
      EXPECT_EQ(FindHolders(federation, 0, kSitePool, "treasurer").size(), 1u) << i;
      world.Restart(holders.front(), with_disk);
      world.RunUntil(world.now() + seconds(5));
    }
  }
}

}  // namespace
}  // namespace load_balancer::model
