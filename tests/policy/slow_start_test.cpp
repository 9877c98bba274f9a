// SPDX-License-Identifier: Apache-2.0
//
// Tests how much work is sent to servers that have just started.
#include <gtest/gtest.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "policy/scripted_traffic.h"

namespace load_balancer {
namespace {

using testing::DefaultSettings;
using testing::Entry;
using testing::next_id;
using testing::Rig;

TEST(SlowStart, TheBudgetIsNotExceededInAnyWindow) {
  Rig rig;
  std::vector<ServerEntry> list = {Entry(1), Entry(2), Entry(3)};
  rig.List(list);
  // Sends three requests of 10 ms of work every 10 ms and ends them at once, so that each of three warm
  // servers does about 1 ms of work per ms.
  auto run = [&](double ms) {
    std::vector<std::pair<double, double>> sent;
    for (double t = 0; t < ms; t += 10) {
      rig.Tick(10);
      std::vector<std::pair<RequestId, ServerId>> open;
      for (int k = 0; k < 3; ++k) {
        const RequestId id = next_id++;
        const auto s = rig.Send(id, 2, 10, 900);
        if (!s) continue;
        open.emplace_back(id, *s);
        if (*s == 3) sent.emplace_back(rig.now, 10);
      }
      for (const auto& [id, s] : open) rig.EndAttempt(id, 0, s, Outcome::kOk, 5);
    }
    return sent;
  };
  run(20000);
  rig.List({Entry(3, 0, 0, ServerState::kReady, rig.now)}, ListKind::kDelta);  // server 3 has restarted
  const double start = rig.now;
  const auto sent = run(10000);
  double max_ratio = 0;
  for (std::size_t i = 0; i < sent.size(); ++i) {
    double window = 0;
    for (std::size_t k = i; k < sent.size() && sent[k].first - sent[i].first < 1000; ++k)
      window += sent[k].second;
    const double share = 0.25 + 0.75 * std::min(1.0, (sent[i].first - start + 1000) / 10000);
    max_ratio = std::max(max_ratio, window / (share * 1000));
  }
  EXPECT_LE(max_ratio, 2.5)
      << "the ratio to the work of a warm server at this capacity share; the server fails at 3";
  EXPECT_GT(sent.size(), 100u) << "the server must be used";
}

// An overloaded fleet is sent far more than it serves. The budget must follow the work that is served.
TEST(SlowStart, TheBudgetFollowsTheWorkThatWarmServersDo) {
  Settings s = DefaultSettings();
  s.max_attempts = 1;
  Rig rig(s);
  rig.List({Entry(1), Entry(2), Entry(3, 0, 0, ServerState::kReady, rig.now)});
  int sent = 0;
  for (int i = 0; i < 800; ++i) {
    rig.Tick(5);
    const RequestId id = next_id++;
    const auto server = rig.Send(id, 2, 10, 900);
    if (!server) continue;
    sent += *server == 3;
    rig.EndAttempt(id, 0, *server, i % 20 ? Outcome::kOverloaded : Outcome::kOk, 5);
  }
  // Each warm server does 0.05 ms of work per ms. The budget is this rate times the overload multiple of 3,
  // the safety factor of 0.55 and the capacity share, which rises from 25 to 55%. In 4 s, the budget is
  // enough for 13 requests of 10 ms.
  EXPECT_LE(sent, 13) << "it would be 20 times as many if the budget followed the work that is sent";
}

// During a rolling deploy every server may be in slow start. A budget computed only from the work served then
// would fall further and further.
TEST(SlowStart, TheBudgetDoesNotCollapseWhileNoServerIsWarm) {
  Settings settings = DefaultSettings();
  settings.slow_start_window = Duration(20000);
  settings.slow_start_min_share = 0.1;
  Rig rig(settings);
  rig.Servers(6);
  bool succeeds = true;
  auto run = [&](int n) {
    int sent = 0;
    for (int i = 0; i < n; ++i) {
      rig.Tick(20);
      const RequestId id = next_id++;
      const auto s = rig.Send(id, 2, 10, 400);
      if (s) ++sent, rig.EndAttempt(id, 0, *s, succeeds ? Outcome::kOk : Outcome::kCancelled, 12);
    }
    return sent;
  };
  run(1000);
  std::vector<ServerEntry> cold;
  for (ServerId id = 1; id <= 6; ++id) cold.push_back(Entry(id, 0, 0, ServerState::kReady, rig.now));
  rig.List(cold);
  succeeds = false;
  run(250);
  succeeds = true;
  EXPECT_GT(run(100), 70) << "after five seconds without a successful attempt";
}

TEST(SlowStart, RejectedWorkCountsToo) {
  Rig rig;
  rig.List({Entry(1, 0, 0, ServerState::kReady, 99999)});
  int sent = 0;
  for (int i = 0; i < 50; ++i) {
    const RequestId id = next_id++;
    const auto s = rig.Send(id, 2, 10, 2000);
    if (s) ++sent, rig.EndAttempt(id, 0, *s, Outcome::kOverloaded);
  }
  EXPECT_LE(sent, 2) << "without a measured rate of warm servers, one mean request per window is permitted";
}

TEST(SlowStart, AProxyWithoutMeasurementsSendsToServersInSlowStart) {
  Rig rig;
  rig.List({Entry(1, 0, 0, ServerState::kReady, 99999), Entry(2, 0, 0, ServerState::kReady, 99999)});
  const RequestId id = next_id++;
  bool sent = rig.Send(id, 0).has_value();
  for (int i = 0; i < 20 && !sent; ++i) rig.Tick(5), sent = rig.SentTo(id).has_value();
  EXPECT_TRUE(sent) << "it must be sent within half of the latency objective";
}

// If hundreds of proxies each sent a request to a server at its start, they would overload it.
TEST(SlowStart, ManyProxiesDoNotSendToAStartingServerAtTheSameTime) {
  Settings settings = DefaultSettings();
  settings.balancer_count = 400;
  settings.slow_start_min_share = 0.1;
  int sent_in_first_second = 0;
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    Rig rig(settings, seed);
    rig.List({Entry(1), Entry(2), Entry(3)});
    for (int i = 0; i < 100; ++i) {  // a request every 200 ms
      rig.Tick(200);
      if (const auto s = rig.Send(next_id++, 2, 10)) rig.EndAttempt(next_id - 1, 0, *s, Outcome::kOk);
    }
    rig.List({Entry(3, 0, 0, ServerState::kReady, rig.now)}, ListKind::kDelta);
    for (int k = 0; k < 5; ++k) {
      rig.Tick(200);
      if (const auto s = rig.Send(next_id++, 2, 10))
        sent_in_first_second += *s == 3, rig.EndAttempt(next_id - 1, 0, *s, Outcome::kOk);
    }
  }
  // Each of 400 proxies sends each warm server a request of 10 ms every 600 ms, so the server does 6.7 ms of
  // work per ms. In its first second, a server in slow start has a capacity of 0.1 to 0.19 of that, 0.145 in
  // the mean, and fails if it gets 3 times as much work.
  EXPECT_LE(sent_in_first_second * 10, 3 * 0.145 * 6.7 * 1000);
  EXPECT_GT(sent_in_first_second, 50) << "the server must be used";
}

}  // namespace
}  // namespace load_balancer
