// SPDX-License-Identifier: Apache-2.0
//
// Tests which server a request is sent to.
#include <gtest/gtest.h>

#include <set>
#include <vector>

#include "policy/scripted_traffic.h"

namespace load_balancer {
namespace {

using testing::DefaultSettings;
using testing::Entry;
using testing::next_id;
using testing::RespondFromEachServer;
using testing::Rig;
using testing::SendAndFinish;

TEST(ServerPicking, PicksTheServerWithTheLeastHintedWorkInFlight) {
  Rig rig;
  rig.Servers(3);
  const auto a = rig.Send(1001, 0, 50), b = rig.Send(1002, 0, 20), c = rig.Send(1003, 0, 40);
  EXPECT_EQ(std::set<ServerId>({*a, *b, *c}).size(), 3u);
  EXPECT_EQ(rig.Send(1004, 0, 25), b) << "it has 20 ms of work in flight, the least";
  EXPECT_EQ(rig.Send(1005, 0, 5), c) << "now its 40 ms are the least";
}

TEST(ServerPicking, CountsRequestsWithoutHints) {
  Rig rig;
  rig.Servers(2);
  const auto a = rig.Send(1011, 0, 0), b = rig.Send(1012, 0, 0);
  EXPECT_NE(a, b);
  rig.EndAttempt(1011, 0, *a, Outcome::kOk);
  EXPECT_EQ(rig.Send(1013, 0, 0), a);
}

TEST(ServerPicking, PrefersTheOwnZoneAmongIdleServersIfCrossingHasAPrice) {
  Settings s = DefaultSettings();
  s.cross_zone_price = 0.02;
  Rig rig(s);
  rig.List({Entry(1, 1), Entry(2, 0), Entry(3, 1)});
  for (int i = 0; i < 20; ++i) EXPECT_EQ(SendAndFinish(rig), ServerId{2});
  rig.Send(next_id++);
  EXPECT_NE(rig.Send(next_id++), ServerId{2})
      << "the work of a request in flight exceeds the cost of crossing";
}

TEST(ServerPicking, BreaksTiesAtRandom) {
  std::set<ServerId> seen;
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    Rig rig(DefaultSettings(), seed);
    rig.Servers(4);
    seen.insert(*rig.Send(1));
  }
  EXPECT_EQ(seen.size(), 4u);
}

// A slow server that responds before its time-out is never ejected. While it is idle, it must not be
// preferred as much as another idle server.
TEST(ServerPicking, AServerThatRespondsSlowerCountsAsBusier) {
  Rig rig;
  rig.Servers(2);
  for (int i = 0; i < 40; ++i) {
    const RequestId id = next_id++;
    const auto server = rig.Send(id, 0, 10, 900);
    rig.EndAttempt(id, 0, *server, Outcome::kOk, *server == 1 ? 60 : 20);
  }
  for (int i = 0; i < 10; ++i) EXPECT_EQ(SendAndFinish(rig), ServerId{2});
  // The slower server is still used if the other server is busy.
  const RequestId busy = next_id++;
  EXPECT_EQ(rig.Send(busy, 0, 100, 900), ServerId{2});
  EXPECT_EQ(rig.Send(next_id++, 0, 10, 900), ServerId{1});
}

// If the requests with a key were spread evenly, each server would serve the key without having it cached.
TEST(ServerPicking, AKeyGoesToItsWarmServerUnlessThatIsMuchBusier) {
  Settings settings = DefaultSettings();
  settings.session_affinity = true;
  Rig rig(settings);
  rig.Servers(4);
  auto send = [&](std::uint64_t key, double work = 10) { return *rig.Send(next_id++, 0, work, 5000, key); };
  const ServerId home = send(7);
  EXPECT_EQ(send(7), home) << "10 ms of work are in flight there, but affinity saves more";
  EXPECT_NE(send(8), home) << "the request has another key";
  EXPECT_NE(send(0), home) << "the request has no key";
  EXPECT_NE(send(7, 1), home) << "20 ms of work in flight there exceed the saving of a small request";

  Rig expiring(settings);
  expiring.Servers(4);
  std::set<ServerId> servers;
  for (int i = 0; i < 20; ++i) {
    const RequestId id = next_id++;
    servers.insert(*expiring.Send(id, 0, 10, 5000, 9));
    expiring.EndAttempt(id, 0, expiring.sent.back().server, Outcome::kOk);
    expiring.Tick(4001);
  }
  EXPECT_GT(servers.size(), 1u) << "the key expires";

  settings.session_affinity = false;
  Rig without_affinity(settings);
  without_affinity.Servers(2);
  const auto first = without_affinity.Send(next_id++, 0, 10, 5000, 7);
  EXPECT_NE(without_affinity.Send(next_id++, 0, 10, 5000, 7), first);
}

TEST(ServerPicking, AnEjectedServerIsUsedIfNoServerIsInService) {
  Rig rig;
  rig.Servers(3);
  RespondFromEachServer(rig, 3, 3);
  rig.List({Entry(2, 0, 0, ServerState::kGone), Entry(3, 0, 0, ServerState::kGone)}, ListKind::kDelta);
  EXPECT_EQ(rig.Send(next_id++), ServerId{1});
}

TEST(Draining, ADrainingOrRemovedServerGetsNoRequests) {
  for (ServerState state : {ServerState::kDraining, ServerState::kGone}) {
    Rig rig;
    rig.Servers(2);
    rig.List({Entry(1, 0, 0, state)}, ListKind::kDelta);
    for (int i = 0; i < 20; ++i) EXPECT_EQ(SendAndFinish(rig), ServerId{2});
  }
  Rig rig;
  rig.Servers(2);
  rig.List({Entry(2)});  // a server that is absent from a full list is removed
  for (int i = 0; i < 20; ++i) EXPECT_EQ(SendAndFinish(rig), ServerId{2});
}

// Proxies must not stay in an overloaded zone while servers of other zones are idle.
TEST(ServerPicking, LeavesTheOwnZoneOnlyIfItIsOverloaded) {
  for (const bool is_overloaded : {true, false}) {
    Settings settings = DefaultSettings();
    settings.cross_zone_price = 0.06;
    Rig rig(settings);
    std::vector<ServerEntry> list;
    for (ServerId id = 1; id <= 40; ++id) list.push_back(Entry(id, id > 20));
    rig.List(list);
    int sent_to_other_zone = 0;
    for (int i = 0; i < 120; ++i) {
      rig.Tick(200);
      const RequestId id = next_id++;
      const auto s = rig.Send(id, 2, 10);
      if (!s) continue;  // rejected, as responses are too slow
      if (i >= 40) sent_to_other_zone += *s > 20;
      // A late response is no failure for outlier detection.
      const bool is_late = is_overloaded && *s <= 20;
      if (is_late) rig.now += 400;
      rig.EndAttempt(id, 0, *s, Outcome::kOk, is_late ? 400 : 20);
    }
    if (is_overloaded) {
      EXPECT_GT(sent_to_other_zone, 30) << "of at most 80 requests";
    } else {
      EXPECT_EQ(sent_to_other_zone, 0) << "crossing has a cost and no benefit";
    }
  }
}

// Guards against an error when a key that was recorded twice at a server expires and is recorded again.
TEST(ServerPicking, KeysExpireAndAreRecordedAgain) {
  Settings settings = DefaultSettings();
  settings.session_affinity = true;
  Rig rig(settings);
  rig.Servers(2);
  for (int round = 0; round < 4; ++round) {
    for (int i = 0; i < 6; ++i) {
      const RequestId id = next_id++;
      const auto s = rig.Send(id, 1, 10, 1000, 1 + i % 3);
      ASSERT_TRUE(s.has_value());
      rig.EndAttempt(id, 0, *s, Outcome::kOk);
      rig.Tick(10);
    }
    rig.Tick(5000);
  }
}

}  // namespace
}  // namespace load_balancer
