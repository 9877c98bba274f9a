// SPDX-License-Identifier: Apache-2.0
//
// Tests that replicated state stays within the limit of bytes that a member sends per second.
#include <gtest/gtest.h>

#include <chrono>
#include <vector>

#include "model/fleet/federation.h"

namespace load_balancer::model {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMembers = 5;
constexpr std::size_t kServers = 200;
constexpr const char* kDuty = "discovery";
constexpr seconds kLifetime{3600};

// Counts the times that a member saw another one as suspect, dead or left.
struct Absences : Observer {
  std::size_t count = 0;
  void OnMemberChanged(const PoolMember&, const fleet::Member& member,
                       std::optional<fleet::MemberState>) override {
    count += member.update.state != fleet::MemberState::kAlive;
  }
};

FederationOptions Options(Absences* absences) {
  FederationOptions options;
  options.members = kMembers;
  options.seeds = kMembers;
  options.fleet.probe_interval = milliseconds(500);
  options.fleet.sync_interval = seconds(5);
  options.fleet.lease_term = seconds(2);
  options.duties = {{kDuty, fleet::LeasedRoleKind::kExclusive}};
  options.observer = absences;
  return options;
}

// Returns a list of servers in the form in which the lease holder of the discovery role publishes it.
std::vector<fleet::NamedValue> ListOf(std::size_t servers, int revision) {
  std::vector<fleet::NamedValue> values;
  for (std::size_t i = 0; i < servers; ++i) {
    const std::string id = "s-" + std::to_string(100000 + i);
    const nlohmann::json server{
        {"id", id},  {"host_port", "10.1.0.18:8000"}, {"locality", "a"}, {"flavor", "m"},
        {"cell", 0}, {"phase", "in_service"},         {"size", 1.0},     {"up_since_ms", 1700000000000}};
    values.push_back(
        {"server/" + id, {{"revision", revision}, {"members", nlohmann::json::array({server})}}});
  }
  return values;
}

enum class Publication { kAtOnce, kOneByOne };

void PublishList(PoolMember& holder, Publication publication, int revision) {
  auto values = ListOf(kServers, revision);
  if (publication == Publication::kAtOnce) return holder.Publish(kDuty, std::move(values), kLifetime);
  for (fleet::NamedValue& each : values) holder.Publish(kDuty, each.key, std::move(each.value), kLifetime);
}

class LongListTest : public testing::TestWithParam<Publication> {};

// A long list must not use the bandwidth that probes and leases need. The holder publishes the list twice in
// quick succession: when it gains the lease, and again when discovery responds.
TEST_P(LongListTest, ReachesAllMembersWithoutDelayingProbesOrLeases) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    Absences absences;
    Federation federation(seed, Options(&absences));
    World& world = federation.world();
    world.RunUntil(seconds(10));
    const auto holders = FindHolders(federation, 0, kSitePool, kDuty);
    ASSERT_EQ(holders.size(), 1u) << "seed " << seed;
    PoolMember& holder = *federation.member(holders.front(), kSitePool);
    PublishList(holder, GetParam(), 1);
    world.RunUntil(milliseconds(10100));
    PublishList(holder, GetParam(), 2);
    world.RunUntil(seconds(16));
    EXPECT_EQ(FindHolders(federation, 0, kSitePool, kDuty), holders) << "seed " << seed;
    EXPECT_EQ(absences.count, 0u) << "seed " << seed;
    EXPECT_TRUE(FindDifferingStates(federation, kSitePool).empty()) << "seed " << seed;
    for (std::size_t i = 0; i < kMembers; ++i) {
      PoolMember& member = *federation.member(i, kSitePool);
      EXPECT_GT(member.state().Summarize(world.host(i).Wall()).fenced_values, kServers) << "seed " << seed;
      EXPECT_EQ(member.throttled(), 0u) << "seed " << seed << " member " << i;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Publications, LongListTest,
                         testing::Values(Publication::kAtOnce, Publication::kOneByOne));

}  // namespace
}  // namespace load_balancer::model
