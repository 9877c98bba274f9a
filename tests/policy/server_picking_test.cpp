// SPDX-License-Identifier: Apache-2.0
//
// Which server a request goes to.
#include <gtest/gtest.h>

#include <set>
#include <vector>

#include "policy/scripted_traffic.h"

namespace load_balancer {
namespace {

using testing::Answers;
using testing::AskAndEnd;
using testing::DefaultSettings;
using testing::Entry;
using testing::next_id;
using testing::Rig;

TEST(ServerPicking, LeastHintedWorkOfItsOwnInFlight) {
  Rig rig;
  rig.Servers(3);
  const auto a = rig.Send(1001, 0, 50), b = rig.Send(1002, 0, 20), c = rig.Send(1003, 0, 40);
  EXPECT_EQ(std::set<ServerId>({*a, *b, *c}).size(), 3u);
  EXPECT_EQ(rig.Send(1004, 0, 25), b) << "20 in flight is the least";
  EXPECT_EQ(rig.Send(1005, 0, 5), c) << "now 40 is";
}

TEST(ServerPicking, CountsRequestsWithoutHints) {
  Rig rig;
  rig.Servers(2);
  const auto a = rig.Send(1011, 0, 0), b = rig.Send(1012, 0, 0);
  EXPECT_NE(a, b);
  rig.EndAttempt(1011, 0, *a, Outcome::kOk);
  EXPECT_EQ(rig.Send(1013, 0, 0), a);
}

TEST(ServerPicking, AmongIdleServersTheOwnZoneIsPreferredWhereCrossingHasAPrice) {
  Settings s = DefaultSettings();
  s.cross_zone_price = 0.02;
  Rig rig(s);
  rig.List({Entry(1, 1), Entry(2, 0), Entry(3, 1)});
  for (int i = 0; i < 20; ++i) EXPECT_EQ(AskAndEnd(rig), ServerId{2});
  rig.Send(next_id++);
  EXPECT_NE(rig.Send(next_id++), ServerId{2}) << "a whole request in flight outweighs it";
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

// A slow server that responds within its time-out is never ejected; idle, it must not look as good as any
// other.
TEST(ServerPicking, AServerThatRespondsSlowerCountsAsBusier) {
  Rig rig;
  rig.Servers(2);
  for (int i = 0; i < 40; ++i) {
    const RequestId id = next_id++;
    const auto server = rig.Send(id, 0, 10, 900);
    rig.EndAttempt(id, 0, *server, Outcome::kOk, *server == 1 ? 60 : 20);
  }
  for (int i = 0; i < 10; ++i) EXPECT_EQ(AskAndEnd(rig), ServerId{2});
  // And with that one busy it still serves.
  const RequestId busy = next_id++;
  EXPECT_EQ(rig.Send(busy, 0, 100, 900), ServerId{2});
  EXPECT_EQ(rig.Send(next_id++, 0, 10, 900), ServerId{1});
}

// Spread evenly, a key would be served without a cache by one server after the other.
TEST(ServerPicking, AKeyGoesWhereItIsWarmUnlessThatIsFarBusier) {
  Settings settings = DefaultSettings();
  settings.session_affinity = true;
  Rig rig(settings);
  rig.Servers(4);
  auto ask = [&](std::uint64_t key, double work = 10) { return *rig.Send(next_id++, 0, work, 5000, key); };
  const ServerId home = ask(7);
  EXPECT_EQ(ask(7), home) << "10 in flight there, but the key saves its work";
  EXPECT_NE(ask(8), home) << "another key";
  EXPECT_NE(ask(0), home) << "no key";
  EXPECT_NE(ask(7, 1), home) << "20 in flight there weigh more than so small a saving";

  Rig forgets(settings);
  forgets.Servers(4);
  std::set<ServerId> later;
  for (int i = 0; i < 20; ++i) {
    const RequestId id = next_id++;
    later.insert(*forgets.Send(id, 0, 10, 5000, 9));
    forgets.EndAttempt(id, 0, forgets.sent.back().server, Outcome::kOk);
    forgets.Tick(4001);
  }
  EXPECT_GT(later.size(), 1u) << "forgotten";

  settings.session_affinity = false;
  Rig none(settings);
  none.Servers(2);
  const auto first = none.Send(next_id++, 0, 10, 5000, 7);
  EXPECT_NE(none.Send(next_id++, 0, 10, 5000, 7), first);
}

TEST(ServerPicking, EjectedServersServeWhenNoneElseCan) {
  Rig rig;
  rig.Servers(3);
  Answers(rig, 3, 3);
  rig.List({Entry(2, 0, 0, ServerState::kGone), Entry(3, 0, 0, ServerState::kGone)}, ListKind::kDelta);
  EXPECT_EQ(rig.Send(next_id++), ServerId{1});
}

TEST(Draining, NoNewRequestFromTheMomentItIsKnown) {
  for (ServerState state : {ServerState::kDraining, ServerState::kGone}) {
    Rig rig;
    rig.Servers(2);
    rig.List({Entry(1, 0, 0, state)}, ListKind::kDelta);
    for (int i = 0; i < 20; ++i) EXPECT_EQ(AskAndEnd(rig), ServerId{2});
  }
  Rig rig;
  rig.Servers(2);
  rig.List({Entry(2)});  // absent from a full list: removed
  for (int i = 0; i < 20; ++i) EXPECT_EQ(AskAndEnd(rig), ServerId{2});
}

// Proxies must not stay in an overloaded zone while servers of other zones are idle.
TEST(ServerPicking, AnOverloadedOwnZoneIsLeftAndAGoodOneKept) {
  for (const bool full : {true, false}) {
    Settings settings = DefaultSettings();
    settings.cross_zone_price = 0.06;
    Rig rig(settings);
    std::vector<ServerEntry> list;
    for (ServerId id = 1; id <= 40; ++id) list.push_back(Entry(id, id > 20));
    rig.List(list);
    int away = 0;
    for (int i = 0; i < 120; ++i) {
      rig.Tick(200);
      const RequestId id = next_id++;
      const auto s = rig.Send(id, 2, 10);
      if (!s) continue;  // refused as too slow
      if (i >= 40) away += *s > 20;
      const bool late = full && *s <= 20;  // answered, but long after the aim: A50 counts no failure
      if (late) rig.now += 400;
      rig.EndAttempt(id, 0, *s, Outcome::kOk, late ? 400 : 20);
    }
    if (full) {
      EXPECT_GT(away, 30) << "of 80";
    } else {
      EXPECT_EQ(away, 0) << "a crossing costs, and nothing is gained";
    }
  }
}

// A key that is recorded twice at one server is forgotten once, and can be recorded again.
TEST(ServerPicking, KeysAreForgottenAndRecordedAgain) {
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
