// SPDX-License-Identifier: Apache-2.0
//
// Tests the limit on attempts in flight, the queue and load shedding.
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

using testing::At;
using testing::DefaultSettings;
using testing::Entry;
using testing::next_id;
using testing::Rig;
using testing::SendAndRespond;

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

// A proxy that starts while the fleet is overloaded must not take the slow responses for normal ones.
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
    if (s) rig.EndAttempt(id, 0, *s, Outcome::kOk, 240);  // the latency objective is 200
    rig.Tick(200);
  }
  EXPECT_LT(sent, 50);
}

TEST(Admission, QueuesRequestsBeyondTheLimitAndRejectsThemInTime) {
  Rig rig;
  rig.Servers(1);
  // After this time, the queueing that a new proxy assumes (TrafficStatistics::crowding) has decayed.
  rig.Tick(10000), rig.Tick(10000);
  for (int i = 0; i < 4; ++i) ASSERT_TRUE(rig.Send(next_id++, 2, 10, 5000).has_value());
  EXPECT_FALSE(rig.Send(next_id++, 2, 10, 5000).has_value());
  double waited = 0;
  while (rig.Count<Reject>() == 0 && waited < 2000) rig.Tick(5), waited += 5;
  EXPECT_EQ(rig.Count<Reject>(), 1);
  EXPECT_LE(waited, 205) << "it must be rejected within the latency objective, not at the deadline";
}

// With a fixed minimum limit, hundreds of proxies together would have more in flight than servers can handle.
TEST(Admission, TheMinimumLimitFallsAsServersBecomeCrowded) {
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

// While nothing is in flight, no request may be rejected because the first response was slow.
TEST(Admission, OneSlowFirstResponseDoesNotCauseRejections) {
  Rig rig;
  rig.Servers(3);
  const RequestId first = next_id++;
  const auto s = rig.Send(first, 2, 10, 5000);
  ASSERT_TRUE(s.has_value());
  rig.EndAttempt(first, 0, *s, Outcome::kOk, 190);
  EXPECT_TRUE(rig.Send(next_id++, 2, 20, 350).has_value())
      << "at that rate it would take 380 ms, longer than its latency objective and its deadline";
}

// Large requests may have high priority weights, so a proxy admits them while servers are idle.
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
    EXPECT_EQ(rig.Send(next_id++, 0, 600, 900).has_value(), !crowded)
        << "at the measured rate it takes 1.2 s";
  }
}

TEST(Admission, TheQueuedRequestWithTheHighestPriorityIsSentFirst) {
  Settings s = DefaultSettings();
  s.classes[2].priority_weight = 1;
  s.classes[0].priority_weight = 9;
  Rig rig(s);
  rig.Servers(1);
  const RequestId first = next_id++;
  ASSERT_TRUE(rig.Send(first, 2, 10, 5000).has_value());
  ASSERT_TRUE(rig.Send(next_id++, 2, 10, 5000).has_value());
  const RequestId low_priority = next_id++, high_priority = next_id++;
  EXPECT_FALSE(rig.Send(low_priority, 2, 10, 5000).has_value());
  EXPECT_FALSE(rig.Send(high_priority, 0, 10, 5000).has_value());
  rig.EndAttempt(first, 0, 1, Outcome::kOk, 10);
  std::vector<RequestId> order;
  for (const Dispatch& d : rig.sent) order.push_back(d.request);
  const auto high_priority_at = std::find(order.begin(), order.end(), high_priority);
  ASSERT_NE(high_priority_at, order.end());
  EXPECT_EQ(std::find(order.begin(), high_priority_at, low_priority), high_priority_at);
}

TEST(Admission, RequestsOverTheirTenantsQuotaAreSentLast) {
  Settings s = DefaultSettings();
  s.tenants = {{1}, {1}};
  s.over_quota_priority_share = 0.2;
  Rig rig(s);
  rig.Servers(1);
  auto is_sent = [&](RequestId id, int tenant) {
    RequestReceived received;
    received.request = id;
    received.tenant = tenant;
    received.due = At(rig.now + 900);
    rig.Handle(received);
    return rig.SentTo(id).has_value();
  };
  EXPECT_TRUE(is_sent(9001, 0));  // uses up the quota of one request per second
  EXPECT_TRUE(is_sent(9002, 0));
  EXPECT_FALSE(is_sent(9003, 1));
  rig.now += 1;
  EXPECT_FALSE(is_sent(9004, 0)) << "it is newer, but its tenant is over quota";
  rig.EndAttempt(9001, 0, 1, Outcome::kOk);
  EXPECT_TRUE(rig.SentTo(9003).has_value());
  EXPECT_FALSE(rig.SentTo(9004).has_value());
}

// Servers that have just started can handle less than the others.
TEST(Admission, ServersInSlowStartRaiseTheMinimumLimitByTheirCapacityOnly) {
  Settings s = DefaultSettings();
  s.balancer_count = 2;
  Rig rig(s);
  std::vector<ServerEntry> list = {Entry(1), Entry(2)};
  for (ServerId id = 3; id <= 10; ++id) list.push_back(Entry(id, 0, 0, ServerState::kReady, rig.now));
  rig.List(list);
  for (int i = 0; i < 50; ++i) rig.Send(next_id++, 0, 10, 900);
  EXPECT_EQ(rig.sent.size(), 3u)
      << "the capacity is 2 + 8 x 0.25 servers; 1.5 attempts for each, over 2 proxies";
}

// If the oldest request went first, an overloaded proxy would send only requests whose latency objective has
// almost passed.
TEST(Admission, OfEqualPriorityTheNewestRequestIsSentFirst) {
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

// If a new proxy sent all requests before it has measured a response rate, it would cause queues at servers
// that last until long after the rate is known.
TEST(Admission, ANewProxyStartsWithASmallLimit) {
  Settings s = DefaultSettings();
  s.balancer_count = 2;
  Rig rig(s);
  rig.Servers(4);
  for (int i = 0; i < 50; ++i) rig.Send(next_id++, 0, 10, 900);
  EXPECT_EQ(rig.sent.size(), 3u) << "1.5 attempts for each server, over 2 proxies";
}

// With heavy-tailed work, a few large requests that cannot be in time must not displace all others.
TEST(Admission, ARequestTooLargeToBeInTimeIsRejectedAtOnce) {
  Rig rig;
  rig.Servers(3);
  for (int i = 0; i < 100; ++i) {
    SendAndRespond(rig, Outcome::kOk, {}, 15);
    rig.Tick(50);
  }
  rig.Send(next_id++, 0, 1000, 900);
  EXPECT_EQ(rig.Count<Reject>(), 1) << "it would take about 1500 ms, and its deadline is in 900 ms";
  rig.Send(next_id++, 0, 100, 900);
  EXPECT_EQ(rig.Count<Dispatch>(), 1);
}

TEST(Admission, AHugeRequestIsNotBlockedByTheLimitOfTheProxy) {
  Rig rig;
  rig.Servers(3);
  for (int i = 0; i < 100; ++i) {
    SendAndRespond(rig, Outcome::kOk, {});
    rig.Tick(50);
  }
  EXPECT_TRUE(rig.Send(next_id++, 2, 150, 5000).has_value());
}

// The client's deadline leaves little time for a client's last retry. If that retry were served in order of
// arrival, it would certainly be late and would delay others.
TEST(Admission, TimeThatHasPassedOfTheDeadlineIsSubtractedFromTheLatencyObjective) {
  Settings settings = DefaultSettings();
  settings.max_retry_after = Duration(300);
  Rig rig(settings);
  rig.Servers(3);
  auto served = [&](double left, bool is_client_retry = false) {
    RequestReceived s;
    s.request = next_id++;
    s.request_class = 2;
    s.has_hint = true;
    s.work_ms = 10;
    s.due = At(rig.now + left);
    s.client_retry = is_client_retry;
    rig.Handle(s);
    const auto server = rig.SentTo(s.request);
    if (server) rig.EndAttempt(s.request, 0, *server, Outcome::kOk);
    return server.has_value();
  };
  for (int i = 0; i < 10; ++i) EXPECT_TRUE(served(i % 2 ? 600 : 500)) << "there is no usual time-out yet";
  for (int i = 0; i < 20; ++i) EXPECT_TRUE(served(600));
  EXPECT_TRUE(served(900)) << "100 of its 1000 ms have passed, and the latency objective is 200";
  EXPECT_FALSE(served(780)) << "220 of its 1000 ms have passed";
  EXPECT_FALSE(served(600, true)) << "for a marked retry, half of the possible 400 ms counts as passed";
  const auto* rejection = std::get_if<Reject>(&rig.actions.front());
  ASSERT_NE(rejection, nullptr);
  EXPECT_EQ(rejection->retry_after.count(), 300) << "a further retry would be even later";
  EXPECT_TRUE(served(600));
}

// Guards against an overload that clients' retries sustain, in which every response is late and no request is
// rejected.
TEST(Admission, ASlowFleetGetsNoMoreRequestsThanItServesInTime) {
  Rig rig;
  rig.Servers(3);
  std::deque<std::tuple<double, RequestId, ServerId>> outstanding;
  std::size_t max_in_flight = 0;
  for (int i = 0; i < 2000; ++i) {
    rig.Tick(5);
    const RequestId id = next_id++;
    if (const auto s = rig.Send(id, 2, 10, 900)) outstanding.emplace_back(rig.now, id, *s);
    // The fleet responds to one request every 20 ms, the oldest first.
    if (i % 4 == 0 && !outstanding.empty()) {
      const auto [at, oldest, server] = outstanding.front();
      outstanding.pop_front();
      rig.EndAttempt(oldest, 0, server, Outcome::kOk, rig.now - at);
      for (const Dispatch& d : rig.sent) {
        if (std::none_of(outstanding.begin(), outstanding.end(),
                         [&](const auto& o) { return std::get<1>(o) == d.request; }) &&
            rig.SentTo(d.request))
          outstanding.emplace_back(rig.now, d.request, d.server);
      }
    }
    if (i > 1000) max_in_flight = std::max(max_in_flight, outstanding.size());
  }
  EXPECT_LE(max_in_flight, 8u) << "0.05 per ms x a third of the objective of 200 ms, and its deviation, is 5";
}

// Random arrivals are no overload. With few attempts in flight, a limit equal to the mean would reject a
// tenth of the requests without need.
TEST(Admission, TheLimitAllowsForRandomArrivals) {
  Settings settings = DefaultSettings();
  settings.classes[2].latency_objective = Duration(1000);
  settings.classes[2].deadline = Duration(5000);
  Rig rig(settings);
  rig.Servers(3);
  for (int i = 0; i < 4000; ++i) {
    SendAndRespond(rig, Outcome::kOk, {});
    rig.Tick(2);
  }
  for (int i = 0; i < 40; ++i) rig.Send(next_id++, 2, 10, 5000);
  EXPECT_EQ(rig.sent.size() - 4000, 19u) << "0.5 per ms x 3 x 10 ms is 15, and its deviation 3.9";
}

// With long latency objectives, queues at servers must not grow so long that they reduce the servers'
// capacity.
TEST(Admission, LongLatencyObjectivesDoNotCrowdServers) {
  Settings settings = DefaultSettings();
  settings.classes[2].latency_objective = Duration(1000);
  settings.classes[2].deadline = Duration(5000);
  Rig rig(settings);
  rig.Servers(3);
  for (int i = 0; i < 200; ++i) {
    SendAndRespond(rig, Outcome::kOk, {});
    rig.Tick(20);
  }
  for (int i = 0; i < 40; ++i) rig.Send(next_id++, 2, 10, 5000);
  const auto outstanding = rig.sent.size() - 200;
  EXPECT_EQ(outstanding, 5u) << "0.05 per ms x 3 x 10 ms is less than 1.5 per server; a third of the latency "
                                "objective would allow 16";
}

// If a few percent of the attempts never get a response, they must not use up the limit until they
// time out.
TEST(Admission, OverdueAttemptsDoNotCountAgainstTheLimit) {
  Rig rig;
  rig.Servers(3);
  for (int i = 0; i < 200; ++i) {
    SendAndRespond(rig, Outcome::kOk, {});
    rig.Tick(20);
  }
  RequestId last = 0;
  do last = next_id++;
  while (rig.Send(last, 2, 10, 900).has_value());
  rig.Tick(5);
  EXPECT_FALSE(rig.SentTo(last).has_value()) << "the limit is reached, and no response is overdue";
  while (!rig.SentTo(last) && rig.Count<Reject>() == 0) rig.Tick(5);
  EXPECT_TRUE(rig.SentTo(last).has_value()) << "responses take 10 ms, and the outstanding ones are overdue";
}

// Time-outs of lost responses must not count as response times of the class. Otherwise later attempts would
// become overdue much too late.
TEST(Admission, TimeOutsOfAFewAttemptsDoNotCountAsResponseTimes) {
  Rig rig;
  rig.Servers(3);
  std::deque<std::pair<RequestId, ServerId>> lost;  // one in six attempts, each outstanding for 900 ms
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
  EXPECT_LE(waited, 25) << "responses take 10 ms, plus four deviations of 2 ms";
}

}  // namespace
}  // namespace load_balancer
