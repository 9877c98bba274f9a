// SPDX-License-Identifier: Apache-2.0
//
// Unit tests of the state of servers, the choice of a subset, the polling of the list, the limits on log
// lines and the time-outs of attempts.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "policy/attempt_timeout.h"
#include "policy/list_poller.h"
#include "policy/server_subset.h"

namespace load_balancer {
namespace {

TimePoint At(double ms) { return TimePoint(Duration(ms)); }

template <typename T>
std::size_t Count(const std::vector<Action>& actions) {
  return static_cast<std::size_t>(std::count_if(actions.begin(), actions.end(), [](const Action& action) {
    return std::holds_alternative<T>(action);
  }));
}

TEST(ServerLoad, IsSilentSinceItsFirstOutstandingAttemptOrItsLastResponse) {
  ServerLoad load;
  load.Add(10, At(100));
  load.Add(5, At(150));
  EXPECT_EQ(load.work(), 15);
  EXPECT_EQ(load.silent_since(), At(100));
  load.Remove(10, false, At(200));
  EXPECT_EQ(load.silent_since(), At(100)) << "a time-out is not a response";
  load.MarkBodyComplete(At(210));
  EXPECT_EQ(load.silent_since(), At(210)) << "no other attempt is outstanding";
  load.Remove(5, true, At(300));
  EXPECT_EQ(load.silent_since(), At(300));
  EXPECT_EQ(load.work(), 0);
  EXPECT_EQ(load.attempts(), 0);
}

TEST(Slowness, IsBoundedAndDecaysToOne) {
  Slowness slowness;
  EXPECT_EQ(slowness.At(At(0)), 1);
  slowness.Record(1000, At(1000));
  const double recorded = slowness.At(At(1000));
  EXPECT_NEAR(recorded, 1 + 0.08 * 7, 1e-12) << "one response counts as no slower than 8";
  EXPECT_LT(slowness.At(At(5000)), recorded);
  EXPECT_NEAR(slowness.At(At(100000)), 1, 1e-6);
}

std::vector<Server> UsableServers(std::size_t count, int zones) {
  std::vector<Server> servers(count);
  for (std::size_t index = 0; index < count; ++index) {
    servers[index].entry.server = static_cast<ServerId>(index);
    servers[index].entry.zone = static_cast<int>(index) % zones;
  }
  return servers;
}

std::vector<ServerIndex> WholeRing(std::size_t count) {
  std::vector<ServerIndex> ring(count);
  for (std::size_t index = 0; index < count; ++index) ring[index] = index;
  return ring;
}

TEST(ServerSubset, IsAnArcOfAtLeastEightThatReplacesEjectedServers) {
  std::vector<Server> servers = UsableServers(40, 1);
  Settings settings;
  EXPECT_EQ(ChooseSubset(servers, WholeRing(40), settings, 0).size(), 8u);
  EXPECT_EQ(ChooseSubset(servers, WholeRing(40), settings, 20).size(), 20u);
  EXPECT_EQ(ChooseSubset(servers, WholeRing(40), settings, 100).size(), 40u);
  servers[2].health.is_ejected = true;
  EXPECT_EQ(ChooseSubset(servers, WholeRing(40), settings, 0).size(), 9u);
  EXPECT_TRUE(ChooseSubset(servers, {}, settings, 0).empty());
}

TEST(ServerSubset, ManyProxiesUseThreeServersEachAndAllServersEvenly) {
  const std::vector<Server> servers = UsableServers(10, 1);
  Settings settings;
  settings.balancer_count = 200;
  std::vector<int> users(10);
  for (settings.balancer_index = 0; settings.balancer_index < 200; ++settings.balancer_index) {
    const std::vector<ServerIndex> subset = ChooseSubset(servers, WholeRing(10), settings, 0);
    EXPECT_EQ(subset.size(), 3u);
    for (const ServerIndex index : subset) ++users[index];
  }
  const auto [min_users, max_users] = std::minmax_element(users.begin(), users.end());
  EXPECT_LE(*max_users - *min_users, 6);
}

TEST(ServerSubset, TheOwnZoneHasASeparateArcIfCrossingHasAPrice) {
  const std::vector<Server> servers = UsableServers(60, 3);
  Settings settings;
  settings.zone = 1;
  settings.cross_zone_price = 0.05;
  const std::vector<ServerIndex> subset = ChooseSubset(servers, WholeRing(60), settings, 0);
  EXPECT_EQ(subset.size(), 16u);
  EXPECT_EQ(std::count_if(subset.begin(), subset.end(), [](ServerIndex index) { return index % 3 == 1; }), 8);
}

class ListPollerTest : public ::testing::Test {
 protected:
  static Settings Polled() {
    Settings settings;
    settings.must_poll_for_list = true;
    settings.max_poll_interval = Duration(10000);
    return settings;
  }

  std::size_t PollsAt(double ms) {
    actions_.clear();
    context_.BeginEvent(At(ms), &actions_);
    poller_.PollIfDue();
    return Count<Subscribe>(actions_);
  }
  void Update(ListKind kind) { poller_.HandleUpdate(kind); }

  Context context_{Polled(), 1};
  ListPoller poller_{context_};
  std::vector<Action> actions_;
};

TEST_F(ListPollerTest, PollsAfterARestartAndAgainIfThereIsNoResponse) {
  EXPECT_EQ(PollsAt(1000), 0u) << "no list has come yet";
  Update(ListKind::kCached);
  EXPECT_EQ(PollsAt(1000), 1u);
  EXPECT_EQ(PollsAt(4499), 0u);
  EXPECT_EQ(PollsAt(4500), 1u) << "the poll has had no response for 3500 ms";
  Update(ListKind::kDelta);
  EXPECT_EQ(PollsAt(1000000), 0u) << "the watch is open";
}

TEST_F(ListPollerTest, BacksOffAfterFailuresWithJitter) {
  PollsAt(1000);
  Update(ListKind::kCached);
  EXPECT_EQ(PollsAt(1000), 1u);
  double delay = 500;  // a twentieth of max_poll_interval
  double now = 1000;
  for (int failure = 0; failure < 3; ++failure, delay *= 2) {
    Update(ListKind::kFailed);
    const double next = poller_.next_poll().time_since_epoch().count();
    EXPECT_GE(next, now + delay * 0.5) << failure;
    EXPECT_LE(next, now + delay) << failure;
    EXPECT_EQ(PollsAt(next), 1u);
    now = next;
  }
}

TEST(Context, LimitsLogLinesOfATopic) {
  Context context(Settings(), 1);
  std::vector<Action> actions;
  for (const double ms : {5000.0, 5999.0, 6000.0}) {
    context.BeginEvent(At(ms), &actions);
    context.LogLine(LogTopic::kEjection, "server ", 5, " ejected");
    context.LogLine(LogTopic::kPeerEjection, "a peer's report");
    context.EndEvent();
  }
  EXPECT_EQ(actions.size(), 5u) << "one of three lines on ejections came within a second of the previous one";
  EXPECT_EQ(std::get<Log>(actions.front()).text, "server 5 ejected");
}

class AttemptTimeoutTest : public ::testing::Test {
 protected:
  AttemptTimeoutTest() {
    request_.rules.idempotency = Idempotency::kIdempotent;
    request_.statistics = std::make_shared<ClassStatistics>();
    request_.max_attempts = 3;
    request_.due = At(2000);
    for (int sample = 0; sample < 100; ++sample) request_.statistics->latency.Add(50);
    server_.load.Add(1, At(0));
  }

  Duration TimeoutAt(double ms, bool has_retry_token = true) const {
    return AttemptTimeout(request_, server_, has_retry_token, At(ms));
  }

  Request request_;
  Server server_;
};

TEST_F(AttemptTimeoutTest, IsSetOnlyIfTheServerIsSilent) {
  const Duration latency_bound = request_.statistics->LatencyUpperBound(request_.work);
  EXPECT_EQ(TimeoutAt(latency_bound.count() - 1).count(), 0);
  EXPECT_EQ(TimeoutAt(latency_bound.count() + 1), latency_bound);
  server_.load.Remove(1, true, At(10));
  EXPECT_EQ(TimeoutAt(1000).count(), 0) << "it has no outstanding attempt";
}

TEST_F(AttemptTimeoutTest, IsNotSetIfNoRetryIsPermittedOrPossibleInTime) {
  EXPECT_GT(TimeoutAt(1000).count(), 0);
  EXPECT_EQ(TimeoutAt(1000, false).count(), 0) << "the retry budget has no token";
  EXPECT_EQ(TimeoutAt(1990).count(), 0) << "a retry would be too late";
  request_.attempts.resize(2);
  EXPECT_EQ(TimeoutAt(1000).count(), 0) << "it is the last attempt";
  request_.attempts.clear();
  request_.rules.idempotency = Idempotency::kNotIdempotent;
  EXPECT_EQ(TimeoutAt(1000).count(), 0);
}

}  // namespace
}  // namespace load_balancer
