// SPDX-License-Identifier: Apache-2.0
//
// Tests the events that report the state of other proxies and of a former process, and the polling of the
// list.
#include <gtest/gtest.h>

#include <set>
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

TEST(PeerEjections, EjectAServerForNoLongerThanThisProxysBackoff) {
  Rig rig;
  rig.Servers(4);
  const auto report = [&](ServerId server, double until, int failures, int attempts) {
    rig.Handle(PeerEjection{server, At(rig.now + until), failures, attempts});
  };
  const auto is_used = [&](ServerId server) {
    std::set<ServerId> used;
    for (int i = 0; i < 4; ++i) used.insert(*rig.Send(next_id, 0, 10, 900)), ++next_id;
    for (const Dispatch& sent : std::vector<Dispatch>(rig.sent.end() - 4, rig.sent.end()))
      rig.EndAttempt(sent.request, 0, sent.server, Outcome::kOk);
    return used.contains(server);
  };
  report(1, 1500, 2, 2);
  EXPECT_TRUE(is_used(1)) << "two attempts are fewer than the request volume";
  report(1, 1500, 3, 9);
  EXPECT_TRUE(is_used(1)) << "the failure share is below the threshold";
  report(1, -1, 3, 3);
  EXPECT_TRUE(is_used(1)) << "the ejection is over already";
  report(1, 60000, 3, 3);
  EXPECT_EQ(rig.Count<Ejected>(), 0) << "an ejection because of a peer's report is not reported to peers";
  EXPECT_FALSE(is_used(1));
  report(2, 1500, 3, 3);
  EXPECT_TRUE(is_used(2)) << "a quarter of the servers are already ejected because of peers' reports";
  rig.Tick(1999);
  EXPECT_FALSE(is_used(1));
  rig.Tick(2);
  EXPECT_TRUE(is_used(1)) << "this proxy's backoff is 2 s, whatever the peer reports";
}

TEST(PeerEjections, AnEjectionByThisProxyIsReportedWithItsCountsAndItsEnd) {
  Rig rig;
  rig.Servers(3);
  std::vector<Ejected> reported;
  for (int i = 0; i < 30 && reported.empty(); ++i) {
    const RequestId id = next_id++;
    const ServerId server = *rig.Send(id, 2, 10, 900);
    rig.EndAttempt(id, 0, server, server == 1 ? Outcome::kError : Outcome::kOk, 10, true);
    for (const Action& action : rig.actions)
      if (const auto* ejected = std::get_if<Ejected>(&action)) reported.push_back(*ejected);
  }
  ASSERT_EQ(reported.size(), 1u);
  EXPECT_EQ(reported[0].server, ServerId{1});
  EXPECT_EQ(reported[0].until, At(rig.now + 2000));
  EXPECT_EQ(reported[0].failures, reported[0].attempts);
  EXPECT_GE(reported[0].attempts, 3);
}

TEST(Restart, RestoredEjectionsLastForTheirRemainingTime) {
  Rig rig;
  rig.Servers(3);
  rig.Handle(RestoredEjection{2, At(rig.now + 700), 3});
  rig.Handle(RestoredEjection{9, At(rig.now + 700), 1});
  const auto used = [&] {
    std::set<ServerId> servers;
    for (int i = 0; i < 9; ++i) {
      const RequestId id = next_id++;
      servers.insert(*rig.Send(id, 0, 10, 900));
      rig.EndAttempt(id, 0, rig.sent.back().server, Outcome::kOk);
    }
    return servers;
  };
  EXPECT_FALSE(used().contains(2));
  rig.Tick(699);
  EXPECT_FALSE(used().contains(2));
  rig.Tick(2);
  EXPECT_EQ(used(), (std::set<ServerId>{1, 2, 3}));
}

TEST(Restart, LearnedRatesLetANewProxySendMoreAtOnce) {
  const auto sent_at_once = [](const LearnedRates& rates) {
    Rig rig;
    rig.Servers(4);
    if (rates.responses_per_ms > 0) rig.Handle(rates);
    int sent = 0;
    for (int i = 0; i < 40; ++i) sent += rig.Send(next_id++, 0, 10, 900).has_value();
    return sent;
  };
  const int cold = sent_at_once({});
  EXPECT_GT(sent_at_once({0.5, 5, 0.25, 1}), cold);
}

TEST(Restart, ANewProcessStartsFromTheLearnedRates) {
  Rig rig;
  rig.Servers(2);
  EXPECT_EQ(rig.learned_rates().responses_per_ms, 0);
  for (int i = 0; i < 50; ++i) {
    const RequestId id = next_id++;
    const ServerId server = *rig.Send(id, 0, 10, 900);
    rig.now += 10;
    rig.EndAttempt(id, 0, server, Outcome::kOk);
  }
  const LearnedRates rates = rig.learned_rates();
  EXPECT_NEAR(rates.responses_per_ms, 0.1, 0.03);
  EXPECT_NEAR(rates.work_per_ms, 1, 0.3);
  Rig next;
  next.Servers(2);
  next.Handle(rates);
  EXPECT_EQ(next.learned_rates().responses_per_ms, rates.responses_per_ms);
}

// Guards against a fault in which the rates of a former process without traffic made its successor adapt more
// slowly than a new proxy.
TEST(Restart, RatesOfAProcessThatServedNothingAreIgnored) {
  const auto learned = [](bool restores) {
    Rig rig;
    rig.Servers(2);
    if (restores) rig.Handle(LearnedRates{});
    for (int i = 0; i < 50; ++i) {
      const RequestId id = next_id++;
      const ServerId server = *rig.Send(id, 0, 10, 900);
      rig.now += 10;
      rig.EndAttempt(id, 0, server, Outcome::kOk);
    }
    return rig.learned_rates().responses_per_ms;
  };
  EXPECT_GT(learned(false), 0);
  EXPECT_EQ(learned(true), learned(false));
}

TEST(ServerConcurrencyLimit, LimitsTheAttemptsInFlightAtEachServer) {
  Rig rig;
  rig.Servers(1);
  rig.Handle(ServerConcurrencyLimit{1});
  int in_flight = 0;
  for (int i = 0; i < 3; ++i) in_flight += rig.Send(next_id++, 0, 10, 900).has_value();
  EXPECT_EQ(in_flight, 1);
  rig.EndAttempt(rig.sent.front().request, 0, 1, Outcome::kOk);
  EXPECT_EQ(rig.Count<Dispatch>(), 1) << "a queued request is sent instead";
  rig.Handle(ServerConcurrencyLimit{0});
  EXPECT_EQ(rig.Count<Dispatch>(), 1) << "without a limit, the queued request is sent";
}

TEST(PeerAffinity, AKeyGoesToTheServerThatAPeerUsedUntilThatExpires) {
  Settings settings = DefaultSettings();
  settings.session_affinity = true;
  Rig rig(settings);
  rig.Servers(8);
  for (int i = 0; i < 4; ++i) {
    rig.Handle(PeerAffinity{5, 77, At(rig.now)});
    const RequestId id = next_id++;
    EXPECT_EQ(rig.Send(id, 0, 10, 900, 77), ServerId{5});
    rig.EndAttempt(id, 0, 5, Outcome::kOk);
    rig.Tick(5000);
  }
}

TEST(ListPolling, PollsAtStartAndAgainAfterAFailure) {
  Settings s = DefaultSettings();
  s.must_poll_for_list = true;
  s.max_poll_interval = Duration(10000);
  Rig rig(s);
  rig.List({Entry(1)}, ListKind::kCached);
  EXPECT_EQ(rig.Count<Subscribe>(), 1);
  rig.Tick(100);
  EXPECT_EQ(rig.Count<Subscribe>(), 0) << "there is one poll at a time";
  rig.List({}, ListKind::kFailed);
  double waited = 0;
  while (rig.Count<Subscribe>() == 0 && waited < 20000) rig.Tick(10), waited += 10;
  EXPECT_GE(waited, 200);
  EXPECT_LE(waited, 2500);
  EXPECT_EQ(rig.Send(next_id++), ServerId{1}) << "the cached list is used";
  rig.List({Entry(1)});
  for (int i = 0; i < 1000; ++i) {
    rig.Tick(100);
    EXPECT_EQ(rig.Count<Subscribe>(), 0);
  }
}

TEST(ListPolling, APushedListIsNeverPolled) {
  Rig rig;
  rig.List({Entry(1)}, ListKind::kCached);
  for (int i = 0; i < 200; ++i) {
    rig.Tick(100);
    EXPECT_EQ(rig.Count<Subscribe>(), 0);
  }
}

}  // namespace
}  // namespace load_balancer
