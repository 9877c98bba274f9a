// SPDX-License-Identifier: Apache-2.0
//
// The limit in flight, the queue and the shedding of load.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

#include "policy/scripted_traffic.h"

namespace load_balancer {
namespace {

using testing::AnswerOne;
using testing::At;
using testing::DefaultSettings;
using testing::Entry;
using testing::next_id;
using testing::Rig;

TEST(Admission, ShedsLoadAtACrowdedFleetWhereTrafficIsSparse) {
  int sent[2] = {0, 0};
  for (const bool crowded : {false, true}) {
    Settings settings = DefaultSettings();
    settings.balancer_count = 400;
    Rig rig(settings);
    rig.Servers(80);
    for (int i = 0; i < 120; ++i) {
      const RequestId id = next_id++;
      const auto s = rig.Send(id, 2, 10, 5000);
      if (s && i >= 60) ++sent[crowded];
      if (s) rig.EndAttempt(id, 0, *s, Outcome::kOk, crowded && i >= 40 ? 90 : 10);
      rig.Tick(200);
    }
  }
  EXPECT_EQ(sent[false], 60);
  EXPECT_LT(sent[true], 45);
}

// A proxy that starts at a crowded fleet must not take slow responses for the usual ones.
TEST(Admission, ANewProxyAtACrowdedFleetShedsLoadByTheLatencyObjective) {
  Settings settings = DefaultSettings();
  settings.balancer_count = 400;
  settings.classes[2].late_priority_share = 0.5;
  Rig rig(settings);
  rig.Servers(80);
  int sent = 0;
  for (int i = 0; i < 120; ++i) {
    const RequestId id = next_id++;
    const auto s = rig.Send(id, 2, 10, 5000);
    if (s && i >= 60) ++sent;
    if (s) rig.EndAttempt(id, 0, *s, Outcome::kOk, 240);  // of an aim of 200
    rig.Tick(200);
  }
  EXPECT_LT(sent, 50);
}

TEST(Admission, QueuesBeyondTheLimitAndRejectsInTime) {
  Rig rig;
  rig.Servers(1);
  rig.Tick(10000), rig.Tick(10000);  // not crowded, as far as it knows
  for (int i = 0; i < 4; ++i) ASSERT_TRUE(rig.Send(next_id++, 2, 10, 5000).has_value());
  EXPECT_FALSE(rig.Send(next_id++, 2, 10, 5000).has_value());
  double waited = 0;
  while (rig.Count<Reject>() == 0 && waited < 2000) rig.Tick(5), waited += 5;
  EXPECT_EQ(rig.Count<Reject>(), 1);
  EXPECT_LE(waited, 205) << "within the aim, not at the deadline";
}

// With a fixed minimum limit, hundreds of proxies together would hold more in flight than servers bear.
TEST(Admission, TheMinimumLimitFollowsHowCrowdedServersAre) {
  std::size_t in_flight[2];
  for (const bool crowded : {false, true}) {
    Settings settings = DefaultSettings();
    settings.balancer_count = 400;
    Rig rig(settings);
    rig.Servers(80);
    for (int i = 0; i < 60; ++i) {
      const RequestId id = next_id++;
      const auto s = rig.Send(id, 2, 10, 5000);
      if (s) rig.EndAttempt(id, 0, *s, Outcome::kOk, crowded && i >= 45 ? 120 : 10);
      rig.Tick(200);
    }
    const std::size_t before = rig.sent.size();
    for (int i = 0; i < 20; ++i) rig.Send(next_id++, 2, 10, 5000);
    in_flight[crowded] = rig.sent.size() - before;
  }
  EXPECT_EQ(in_flight[false], 4u);
  EXPECT_LE(in_flight[true], 2u);
}

// Requests must not be rejected with nothing in flight because the first response was slow.
TEST(Admission, OneSlowFirstResponseShutsNothingOut) {
  Rig rig;
  rig.Servers(3);
  const RequestId first = next_id++;
  const auto s = rig.Send(first, 2, 10, 5000);
  ASSERT_TRUE(s.has_value());
  rig.EndAttempt(first, 0, *s, Outcome::kOk, 190);
  EXPECT_TRUE(rig.Send(next_id++, 2, 20, 350).has_value())
      << "380 ms at that pace, after the aim and its patience";
}

// The heaviest requests may have the highest priority weights: idle proxies admit them.
TEST(Admission, ATooLargeRequestIsAdmittedAtIdleServersAndRejectedAtCrowdedOnes) {
  for (const bool crowded : {false, true}) {
    Settings settings = DefaultSettings();
    settings.balancer_count = 400;
    Rig rig(settings);
    rig.Servers(80);
    for (int i = 0; i < 40; ++i) {
      const RequestId id = next_id++;
      const auto s = rig.Send(id, 2, 10, 900);
      if (s) rig.EndAttempt(id, 0, *s, Outcome::kOk, crowded && i >= 30 ? 180 : 20);
      rig.Tick(200);
    }
    EXPECT_EQ(rig.Send(next_id++, 0, 600, 900).has_value(), !crowded) << "1.2 s at this pace";
  }
}

TEST(Admission, TheHighestPriorityGoesFirst) {
  Settings s = DefaultSettings();
  s.classes[2].priority_weight = 1;
  s.classes[0].priority_weight = 9;
  Rig rig(s);
  rig.Servers(1);
  const RequestId first = next_id++;
  ASSERT_TRUE(rig.Send(first, 2, 10, 5000).has_value());
  ASSERT_TRUE(rig.Send(next_id++, 2, 10, 5000).has_value());
  const RequestId poor = next_id++, rich = next_id++;
  EXPECT_FALSE(rig.Send(poor, 2, 10, 5000).has_value());
  EXPECT_FALSE(rig.Send(rich, 0, 10, 5000).has_value());
  rig.EndAttempt(first, 0, 1, Outcome::kOk, 10);
  std::vector<RequestId> order;
  for (const Dispatch& d : rig.sent) order.push_back(d.request);
  const auto rich_at = std::find(order.begin(), order.end(), rich);
  ASSERT_NE(rich_at, order.end());
  EXPECT_EQ(std::find(order.begin(), rich_at, poor), rich_at);
}

// With heavy-tailed work, a few requests that cannot be in time must not take the place of all others.
TEST(Admission, RequestsOverTheirTenantsQuotaGoLast) {
  Settings s = DefaultSettings();
  s.tenants = {{1}, {1}};
  s.over_quota_priority_share = 0.2;
  Rig rig(s);
  rig.Servers(1);
  auto ask = [&](RequestId id, int tenant) {
    RequestReceived received;
    received.request = id;
    received.tenant = tenant;
    received.due = At(rig.now + 900);
    rig.Handle(received);
    return rig.SentTo(id).has_value();
  };
  EXPECT_TRUE(ask(9001, 0));  // takes the one request a second of its share
  EXPECT_TRUE(ask(9002, 0));
  EXPECT_FALSE(ask(9003, 1));
  rig.now += 1;
  EXPECT_FALSE(ask(9004, 0)) << "newer, but beyond its share";
  rig.EndAttempt(9001, 0, 1, Outcome::kOk);
  EXPECT_TRUE(rig.SentTo(9003).has_value());
  EXPECT_FALSE(rig.SentTo(9004).has_value());
}

// Servers that have just started bear less than the others.
TEST(Admission, ServersInSlowStartRaiseTheMinimumLimitByTheirCapacityOnly) {
  Settings s = DefaultSettings();
  s.balancer_count = 2;
  Rig rig(s);
  std::vector<ServerEntry> list = {Entry(1), Entry(2)};
  for (ServerId id = 3; id <= 10; ++id) list.push_back(Entry(id, 0, 0, ServerState::kReady, rig.now));
  rig.List(list);
  for (int i = 0; i < 50; ++i) rig.Send(next_id++, 0, 10, 900);
  EXPECT_EQ(rig.sent.size(), 3u) << "2 + 8 x 0.25 servers, 1.5 each, of 2 proxies";
}

// Oldest first, an overloaded proxy would send only requests that have hardly any of their objective left.
TEST(Admission, OfEqualPriorityTheNewestGoesFirst) {
  Rig rig;
  rig.Servers(1);
  for (int i = 0; i < 2; ++i) ASSERT_TRUE(rig.Send(500 + static_cast<RequestId>(i), 0, 10, 900).has_value());
  for (RequestId id : {601u, 602u}) {
    rig.Tick(10);
    EXPECT_FALSE(rig.Send(id, 0, 10, 900).has_value());
  }
  rig.EndAttempt(500, 0, 1, Outcome::kOk, 20);
  EXPECT_TRUE(rig.SentTo(602).has_value());
  EXPECT_FALSE(rig.SentTo(601).has_value());
}

// A new proxy that floods the fleet before it knows any rate leaves queues that last far longer.
TEST(Admission, ANewProxyStartsFromLittle) {
  Settings s = DefaultSettings();
  s.balancer_count = 2;
  Rig rig(s);
  rig.Servers(4);
  for (int i = 0; i < 50; ++i) rig.Send(next_id++, 0, 10, 900);
  EXPECT_EQ(rig.sent.size(), 3u) << "1.5 a server, of 2 proxies";
}

TEST(Admission, ARequestTooLargeToBeInTimeIsRejectedAtOnce) {
  Rig rig;
  rig.Servers(3);
  for (int i = 0; i < 100; ++i) {
    AnswerOne(rig, Outcome::kOk, {}, 15);
    rig.Tick(50);
  }
  rig.Send(next_id++, 0, 1000, 900);
  EXPECT_EQ(rig.Count<Reject>(), 1) << "about 1500 ms of 900";
  rig.Send(next_id++, 0, 100, 900);
  EXPECT_EQ(rig.Count<Dispatch>(), 1);
}

TEST(Admission, AHugeRequestIsNotShutOutByTheLimitOfTheProxy) {
  Rig rig;
  rig.Servers(3);
  for (int i = 0; i < 100; ++i) {
    AnswerOne(rig, Outcome::kOk, {});
    rig.Tick(50);
  }
  EXPECT_TRUE(rig.Send(next_id++, 2, 150, 5000).has_value());
}

// A client's last retry has what is left of its deadline. Served in its turn, it would be late for certain
// and make others late.
TEST(Admission, TimeElapsedOfTheDeadlineHasElapsedOfTheLatencyObjective) {
  Settings settings = DefaultSettings();
  settings.max_retry_after = Duration(300);
  Rig rig(settings);
  rig.Servers(3);
  auto served = [&](double left, bool repeat = false) {
    RequestReceived s;
    s.request = next_id++;
    s.request_class = 2;
    s.has_hint = true;
    s.work_ms = 10;
    s.due = At(rig.now + left);
    s.client_retry = repeat;
    rig.Handle(s);
    const auto server = rig.SentTo(s.request);
    if (server) rig.EndAttempt(s.request, 0, *server, Outcome::kOk);
    return server.has_value();
  };
  for (int i = 0; i < 10; ++i) EXPECT_TRUE(served(i % 2 ? 600 : 500)) << "no usual time yet";
  for (int i = 0; i < 20; ++i) EXPECT_TRUE(served(600));
  EXPECT_TRUE(served(900)) << "100 of its 1000 are gone, of an aim of 200";
  EXPECT_FALSE(served(780)) << "220 are";
  EXPECT_FALSE(served(600, true)) << "200 or so: half of what may have passed before a marked repeat";
  const auto* refused = std::get_if<Reject>(&rig.actions.front());
  ASSERT_NE(refused, nullptr);
  EXPECT_EQ(refused->retry_after.count(), 300) << "another try would be later still";
  EXPECT_TRUE(served(600));
}

// Clients' retries must not keep an overloaded fleet overloaded, with every response late and none rejected.
TEST(Admission, ASlowFleetGetsNoMoreThanItServesInTime) {
  Rig rig;
  rig.Servers(3);
  std::deque<std::tuple<double, RequestId, ServerId>> out;
  std::size_t most = 0;
  for (int i = 0; i < 2000; ++i) {
    rig.Tick(5);
    const RequestId id = next_id++;
    if (const auto s = rig.Send(id, 2, 10, 900)) out.emplace_back(rig.now, id, *s);
    // The fleet answers one in 20 ms, the oldest first.
    if (i % 4 == 0 && !out.empty()) {
      const auto [at, oldest, server] = out.front();
      out.pop_front();
      rig.EndAttempt(oldest, 0, server, Outcome::kOk, rig.now - at);
      for (const Dispatch& d : rig.sent) {
        if (std::none_of(out.begin(), out.end(),
                         [&](const auto& o) { return std::get<1>(o) == d.request; }) &&
            rig.SentTo(d.request))
          out.emplace_back(rig.now, d.request, d.server);
      }
    }
    if (i > 1000) most = std::max(most, out.size());
  }
  EXPECT_LE(most, 8u) << "0.05 a ms x a third of the aim of 200 ms, and its deviation, is 5";
}

// Random arrivals are no overload: with few in flight, a limit at their mean would reject a tenth for
// nothing.
TEST(Admission, TheLimitAllowsForRandomArrivals) {
  Settings settings = DefaultSettings();
  settings.classes[2].latency_objective = Duration(1000);
  settings.classes[2].deadline = Duration(5000);
  Rig rig(settings);
  rig.Servers(3);
  for (int i = 0; i < 4000; ++i) {
    AnswerOne(rig, Outcome::kOk, {});
    rig.Tick(2);
  }
  for (int i = 0; i < 40; ++i) rig.Send(next_id++, 2, 10, 5000);
  EXPECT_EQ(rig.sent.size() - 4000, 19u) << "0.5 a ms x 3 x 10 ms is 15, and its deviation 3.9";
}

// Long objectives must not let queues grow until servers lose capacity to them.
TEST(Admission, LongLatencyObjectivesDoNotCrowdServers) {
  Settings settings = DefaultSettings();
  settings.classes[2].latency_objective = Duration(1000);
  settings.classes[2].deadline = Duration(5000);
  Rig rig(settings);
  rig.Servers(3);
  for (int i = 0; i < 200; ++i) {
    AnswerOne(rig, Outcome::kOk, {});
    rig.Tick(20);
  }
  for (int i = 0; i < 40; ++i) rig.Send(next_id++, 2, 10, 5000);
  const auto out = rig.sent.size() - 200;
  EXPECT_EQ(out, 5u) << "0.05 a ms x 3 x 10 ms is less than 1.5 a server; a third of the aim would be 16";
}

// Where a few percent of the attempts never get a response, they must not fill the limit until their
// time-outs.
TEST(Admission, OverdueAttemptsDoNotCountAgainstTheLimit) {
  Rig rig;
  rig.Servers(3);
  for (int i = 0; i < 200; ++i) {
    AnswerOne(rig, Outcome::kOk, {});
    rig.Tick(20);
  }
  RequestId last = 0;
  do last = next_id++;
  while (rig.Send(last, 2, 10, 900).has_value());
  rig.Tick(5);
  EXPECT_FALSE(rig.SentTo(last).has_value()) << "the limit is reached, and no answer is overdue";
  while (!rig.SentTo(last) && rig.Count<Reject>() == 0) rig.Tick(5);
  EXPECT_TRUE(rig.SentTo(last).has_value()) << "answers take 10 ms; those that are out have taken far longer";
}

// Nor may their time-outs count as response times of the class, by which the next attempts are overdue.
TEST(Admission, TimeOutsOfAFewDoNotMakeAllLookSlow) {
  Rig rig;
  rig.Servers(3);
  std::deque<std::pair<RequestId, ServerId>> lost;  // one in six, each out for 900 ms
  for (int i = 0; i < 600; ++i) {
    const RequestId id = next_id++;
    const auto s = rig.Send(id, 2, 10, 900);
    ASSERT_TRUE(s.has_value());
    if (i % 6 == 5) {
      lost.emplace_back(id, *s);
    } else {
      rig.EndAttempt(id, 0, *s, Outcome::kOk, i % 2 ? 8 : 12);
    }
    if (lost.size() > 7)
      rig.EndAttempt(lost.front().first, 0, lost.front().second, Outcome::kTimeout, 900), lost.pop_front();
    rig.Tick(20);
  }
  RequestId last = 0;
  do last = next_id++;
  while (rig.Send(last, 2, 10, 900).has_value());
  double waited = 0;
  while (!rig.SentTo(last) && rig.Count<Reject>() == 0) rig.Tick(5), waited += 5;
  EXPECT_TRUE(rig.SentTo(last).has_value());
  EXPECT_LE(waited, 25) << "10 ms that answers take and four deviations of 2 ms";
}

}  // namespace
}  // namespace load_balancer
