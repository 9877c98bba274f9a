// SPDX-License-Identifier: Apache-2.0
//
// Answers that come a second time, some ms late: none of them is taken for that of the next request.
#include <gtest/gtest.h>

#include <chrono>
#include <thread>

#include "backend/backends_fixture.h"

namespace load_balancer::testing {
namespace {

constexpr Duration kLong{30000};

void Serve(Bench& bench, Tcp::socket& peer, const std::string& body) {
  bench.ReadRequest(peer);
  SendRaw(peer, OkAnswer(body));
  bench.RunUntilResult();
  ASSERT_TRUE(bench.result.has_value());
  ASSERT_EQ(bench.result->outcome, Outcome::kOk);
  EXPECT_EQ(bench.result->response.body(), body);
}

// On the idle connection: it is not used again.
TEST(SecondAnswer, EndsAnIdleConnection) {
  Bench bench;
  bench.Send(kLong);
  Tcp::socket peer = bench.Accept();
  Serve(bench, peer, "first");
  SendRaw(peer, OkAnswer("first"));
  const auto until = std::chrono::steady_clock::now() + kGiveUp;
  while (bench.backends.connections() > 0 && std::chrono::steady_clock::now() < until) bench.RunOnce();
  EXPECT_EQ(bench.backends.connections(), 0u);
}

// After the first that was seen, the next would cross the request that follows: it is on another connection.
TEST(SecondAnswer, ThatWouldCrossTheNextRequestFindsItsConnectionResting) {
  Bench bench;
  bench.Send(kLong);
  Tcp::socket warns = bench.Accept();
  Serve(bench, warns, "first");
  SendRaw(warns, OkAnswer("first"));
  bench.Send(kLong);
  Tcp::socket peer = bench.Accept();
  Serve(bench, peer, "second");
  bench.Send(kLong);
  bench.RunOnce();
  SendRaw(peer, OkAnswer("second"));
  Tcp::socket next = bench.Accept();
  Serve(bench, next, "third");
  EXPECT_EQ(bench.backends.opened(), 3u);
}

TEST(SecondAnswer, ThatComesWithTheFirstWarnsAsWell) {
  Bench bench;
  bench.Send(kLong);
  Tcp::socket warns = bench.Accept();
  bench.ReadRequest(warns);
  SendRaw(warns, OkAnswer("first") + OkAnswer("first"));
  bench.RunUntilResult();
  ASSERT_TRUE(bench.result.has_value());
  EXPECT_EQ(bench.result->response.body(), "first");
  bench.Send(kLong);
  Tcp::socket peer = bench.Accept();
  Serve(bench, peer, "second");
  bench.Send(kLong);
  Tcp::socket next = bench.Accept();
  Serve(bench, next, "third");
  EXPECT_EQ(bench.backends.opened(), 3u);
}

TEST(SecondAnswer, LeavesAConnectionThatHasRestedInUse) {
  Bench bench;
  bench.Send(kLong);
  Tcp::socket warns = bench.Accept();
  Serve(bench, warns, "first");
  SendRaw(warns, OkAnswer("first"));
  bench.Send(kLong);
  Tcp::socket peer = bench.Accept();
  Serve(bench, peer, "second");
  std::this_thread::sleep_for(std::chrono::milliseconds(60));  // longer than the rest
  bench.Send(kLong);
  Serve(bench, peer, "third");
  EXPECT_EQ(bench.backends.opened(), 2u);
}

// An end is no answer: connections are used again at once.
TEST(SecondAnswer, IsNoConnectionThatEnds) {
  Bench bench;
  bench.Send(kLong);
  {
    Tcp::socket ends = bench.Accept();
    Serve(bench, ends, "first");
  }
  bench.Send(kLong);
  Tcp::socket peer = bench.Accept();
  Serve(bench, peer, "second");
  bench.Send(kLong);
  Serve(bench, peer, "third");
  EXPECT_EQ(bench.backends.opened(), 2u);
}

}  // namespace
}  // namespace load_balancer::testing
