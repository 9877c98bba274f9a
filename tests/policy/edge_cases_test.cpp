// SPDX-License-Identifier: Apache-2.0
//
// Tests log lines, malformed events, extreme lists and determinism.
#include <gtest/gtest.h>

#include <limits>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "policy/scripted_traffic.h"

namespace load_balancer {
namespace {

using testing::At;
using testing::DefaultSettings;
using testing::Entry;
using testing::next_id;
using testing::Rig;

TEST(Logs, LinesAreRareAndStateServerAndReason) {
  Rig rig;
  std::vector<std::string> lines;
  auto collect_lines = [&] {
    for (const Action& a : rig.actions)
      if (const auto* log = std::get_if<Log>(&a)) lines.push_back(log->text);
  };
  for (int i = 0; i < 5; ++i) {
    rig.Send(next_id++, 0, 10, -50);  // due in the past
    collect_lines();
  }
  ASSERT_EQ(lines.size(), 1u) << "further lines within ten seconds are suppressed";
  EXPECT_NE(lines[0].find("rejecting request: not sent"), std::string::npos) << lines[0];
  rig.Tick(20000);
  rig.Tick(20000);
  rig.List({Entry(1, 0, 0, ServerState::kReady, rig.now)});
  for (int i = 0; i < 30; ++i) {
    rig.Send(next_id++);
    collect_lines();
  }
  ASSERT_EQ(lines.size(), 2u);
  EXPECT_NE(lines[1].find("server 1 skipped: in slow start, at 25%"), std::string::npos) << lines[1];
}

TEST(MalformedEvents, AreIgnoredOrRejected) {
  const double inf = std::numeric_limits<double>::infinity(), nan = std::numeric_limits<double>::quiet_NaN();
  Rig rig;
  EXPECT_FALSE(rig.Send(1, 0).has_value()) << "it is queued, as there is no list yet";
  rig.List({});
  rig.EndAttempt(77, 0, 1, Outcome::kOk);
  rig.Handle(ClientGone{77});
  rig.Handle(StreamStarted{77, 0});
  rig.Servers(1);
  EXPECT_EQ(rig.SentTo(1), ServerId{1}) << "queued requests are sent once a server is listed";
  rig.EndAttempt(1, 9, 1, Outcome::kOk);
  rig.EndAttempt(1, -1, 1, Outcome::kOk);
  rig.Send(1, 0);
  EXPECT_FALSE(rig.SentTo(1).has_value()) << "a duplicate id";
  rig.Send(2, 99);
  EXPECT_EQ(rig.Count<Reject>(), 1) << "an unknown class";
  rig.Send(3, 0, 10, -50);
  EXPECT_EQ(rig.Count<Reject>(), 1) << "due in the past";
  for (double work : {0.0, -5.0, inf, nan, 1e300}) {
    const RequestId id = 100 + next_id++;
    RequestReceived s;
    s.request = id;
    s.due = At(rig.now + 500);
    s.has_hint = true;
    s.work_ms = work;
    s.tenant = 4000;
    rig.Handle(s);
    ASSERT_TRUE(rig.SentTo(id).has_value()) << work;
    AttemptEnded e;
    e.request = id;
    e.server = 1;
    e.outcome = Outcome::kOk;
    e.is_request_finished = true;
    e.took = Duration(nan);
    rig.Handle(e);
  }
  EXPECT_TRUE(rig.Send(next_id + 1000, 0).has_value());
}

TEST(EdgeCases, WithAnEmptyListRequestsAreQueuedAndThenRejected) {
  Rig rig;
  rig.List({});
  EXPECT_FALSE(rig.Send(next_id++, 0, 10, 1000).has_value());
  EXPECT_EQ(rig.Count<Reject>() + rig.Count<FailRequest>(), 0);
  double waited = 0;
  while (rig.Count<Reject>() == 0 && waited < 2000) rig.Tick(5), waited += 5;
  EXPECT_EQ(rig.Count<Reject>(), 1);
  EXPECT_LE(waited, 1000);
}

TEST(EdgeCases, AQueuedRequestGoesToTheFirstServerThatIsListed) {
  Rig rig;
  rig.List({});
  const RequestId id = next_id++;
  EXPECT_FALSE(rig.Send(id, 2, 10, 1000).has_value());
  rig.now += 20;
  rig.List({Entry(9)}, ListKind::kDelta);
  EXPECT_EQ(rig.SentTo(id), std::optional<ServerId>(9));
}

TEST(EdgeCases, RequestsWithoutHintsAreSentInAFleetOfAThousandServers) {
  Settings settings = DefaultSettings();
  settings.balancer_count = 3000;
  settings.balancer_index = 2999;
  Rig rig(settings);
  rig.Servers(1000);
  for (int i = 0; i < 100; ++i) {
    const RequestId id = next_id++;
    const auto s = rig.Send(id, i % 3, 0, 900);
    ASSERT_TRUE(s.has_value());
    rig.EndAttempt(id, 0, *s, Outcome::kOk);
    rig.Tick(200);
  }
}

TEST(Determinism, SameEventsCauseSameActions) {
  Rig a(DefaultSettings(), 7), b(DefaultSettings(), 7);
  for (Rig* rig : {&a, &b}) {
    rig->Servers(5);
    for (RequestId id = 1; id <= 200; ++id) {
      const auto s = rig->Send(id, static_cast<int>(id % 3));
      rig->Tick(3);
      if (s && id % 4) rig->EndAttempt(id, 0, *s, id % 5 ? Outcome::kOk : Outcome::kError);
    }
  }
  ASSERT_EQ(a.sent.size(), b.sent.size());
  for (std::size_t i = 0; i < a.sent.size(); ++i) EXPECT_EQ(a.sent[i].server, b.sent[i].server);
}

}  // namespace
}  // namespace load_balancer
