// SPDX-License-Identifier: Apache-2.0
//
// Attempts and their connections, step by step: the test is the backend, and runs the event loop itself.
#include "backends.h"

#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <thread>

#include "backend/backends_fixture.h"

namespace load_balancer::testing {
namespace {

// The event loop gets to the time-out and to the rest of the answer in one round: the time-out first.
TEST(Backends, AnAnswerThatArrivesAsItsAttemptTimesOutHasNowhereToGo) {
  Bench bench;
  bench.Send(Duration(500));
  Tcp::socket peer = bench.Accept();
  bench.ReadRequest(peer);
  const auto due = std::chrono::steady_clock::now() + std::chrono::milliseconds(501);
  // More than one read takes, so that a second one is under way when the time-out comes.
  SendRaw(peer, "HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n" + std::string(5000, 'x'));
  std::this_thread::sleep_until(due);
  bench.RunUntilResult();
  ASSERT_TRUE(bench.result.has_value());
  EXPECT_EQ(bench.result->outcome, Outcome::kTimeout);
  EXPECT_EQ(bench.backends.connections(), 0u);
  bench.RunOnce();
}

TEST(Backends, ATimeOutInTheMiddleOfARequestNeverRan) {
  Bench bench;
  bench.Send(Duration(50), 32 * 1024 * 1024);
  Tcp::socket peer = bench.Accept();
  bench.RunUntilResult();
  ASSERT_TRUE(bench.result.has_value());
  EXPECT_EQ(bench.result->outcome, Outcome::kConnectFailed);
  EXPECT_EQ(bench.backends.connections(), 0u);
  bench.RunOnce();
}

TEST(Backends, AnAnswerInPiecesIsWholeAndItsConnectionIsUsedAgain) {
  Bench bench;
  bench.Send(Duration(30000));
  Tcp::socket peer = bench.Accept();
  for (int round = 0; round < 2; ++round) {
    bench.ReadRequest(peer);
    const std::string answer = OkAnswer(std::string(3000, 'x'));
    for (std::size_t at = 0; at < answer.size(); at += 700) {
      EXPECT_FALSE(bench.result.has_value());
      SendRaw(peer, answer.substr(at, 700));
      bench.RunOnce();
    }
    bench.RunUntilResult();
    ASSERT_TRUE(bench.result.has_value());
    EXPECT_EQ(bench.result->outcome, Outcome::kOk);
    EXPECT_EQ(bench.result->response.body().size(), 3000u);
    if (round == 0) bench.Send(Duration(30000));
  }
  EXPECT_EQ(bench.backends.opened(), 1u);
}

TEST(Backends, TheAnswerProperComesAfterInterimOnes) {
  Bench bench;
  bench.Send(Duration(30000));
  Tcp::socket peer = bench.Accept();
  bench.ReadRequest(peer);
  SendRaw(peer, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 O");
  bench.RunOnce();
  EXPECT_FALSE(bench.result.has_value());
  SendRaw(peer, "K\r\nContent-Length: 2\r\n\r\nOK");
  bench.RunUntilResult();
  ASSERT_TRUE(bench.result.has_value());
  EXPECT_EQ(bench.result->outcome, Outcome::kOk);
  EXPECT_EQ(bench.result->response.body(), "OK");
  bench.Send(Duration(30000));
  bench.ReadRequest(peer);
  SendRaw(peer, "HTTP/1.1 101 Switching Protocols\r\n\r\n");
  bench.RunUntilResult();
  ASSERT_TRUE(bench.result.has_value());
  EXPECT_NE(bench.result->outcome, Outcome::kOk);
  EXPECT_EQ(bench.backends.opened(), 1u);
}

TEST(Backends, AnInterimAnswerAloneIsNone) {
  Bench bench;
  bench.Send(Duration(30000));
  {
    Tcp::socket peer = bench.Accept();
    bench.ReadRequest(peer);
    SendRaw(peer, "HTTP/1.1 103 Early Hints\r\n\r\n");
  }
  bench.RunUntilResult();
  ASSERT_TRUE(bench.result.has_value());
  EXPECT_EQ(bench.result->outcome, Outcome::kReset);
}

TEST(Backends, APoolThatIsFullIsNoFailureOfTheBackend) {
  Backends::Limits limits;
  limits.connections = [] { return 1; };
  Bench bench(limits);
  std::optional<AttemptResult> first;
  bench.backends.Send(kServer, Out(HttpRequest{http::verb::get, "/look", 11}), Duration(30000), Into(&first));
  bench.Send(Duration(30000));
  bench.RunUntilResult();
  ASSERT_TRUE(bench.result.has_value());
  EXPECT_EQ(bench.result->outcome, Outcome::kNotSent);
  EXPECT_FALSE(first.has_value());
  // The first goes on, and once it is idle it makes room.
  Tcp::socket peer = bench.Accept();
  bench.ReadRequest(peer);
  SendRaw(peer, OkAnswer("served"));
  const auto until = std::chrono::steady_clock::now() + kGiveUp;
  while (!first && std::chrono::steady_clock::now() < until) bench.RunOnce();
  ASSERT_TRUE(first.has_value());
  EXPECT_EQ(first->outcome, Outcome::kOk);
  Tcp::acceptor elsewhere(bench.peers, kAnyPort);
  bench.backends.Set(kServer + 1, elsewhere.local_endpoint(), 0);
  bench.result.reset();
  bench.backends.Send(kServer + 1, Out(HttpRequest{http::verb::get, "/look", 11}), Duration(30000),
                      Into(&bench.result));
  Tcp::socket other(bench.peers);
  elsewhere.accept(other);
  bench.ReadRequest(other);
  SendRaw(other, OkAnswer("served"));
  bench.RunUntilResult();
  ASSERT_TRUE(bench.result.has_value());
  EXPECT_EQ(bench.result->outcome, Outcome::kOk);
  EXPECT_EQ(bench.backends.connections(), 1u);
}

// The answer's second piece and the end of the wait for it come in one turn of the event loop.
TEST(Backends, ATimerThatRanOutAsAnAnswerBeganDoesNotBreakItOff) {
  Bench bench;
  std::optional<proxy::AnswerHead> begun;
  std::optional<AttemptResult> result;
  bench.backends.Send(kServer, Out(HttpRequest{http::verb::get, "/look", 11}), Duration(30000),
                      {[&](proxy::AnswerHead head) { begun = std::move(head); },
                       [&](AttemptResult ended) { result = std::move(ended); }});
  Tcp::socket peer = bench.Accept();
  bench.ReadRequest(peer);
  SendRaw(peer, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n");
  for (int i = 0; i < 100; ++i) bench.RunOnce();
  std::this_thread::sleep_for(std::chrono::milliseconds(300));  // longer than the answer is held back
  SendRaw(peer, "6\r\nsecond\r\n");
  const auto until = std::chrono::steady_clock::now() + kGiveUp;
  while (!begun && std::chrono::steady_clock::now() < until) bench.RunOnce();
  ASSERT_TRUE(begun.has_value());
  for (int i = 0; i < 100; ++i) bench.RunOnce();
  EXPECT_FALSE(result.has_value());
  SendRaw(peer, "0\r\n\r\n");
  std::string got;
  bool last = false;
  while (!last && std::chrono::steady_clock::now() < until) {
    bool given = false;
    begun->body->Next([&](proxy::Piece piece) {
      ASSERT_FALSE(piece.failed);
      given = true;
      got += piece.bytes;
      last = piece.last;
    });
    while (!given && std::chrono::steady_clock::now() < until) bench.RunOnce();
  }
  EXPECT_EQ(got, "firstsecond");
  ASSERT_TRUE(result.has_value());
  EXPECT_EQ(result->outcome, Outcome::kOk);
}

}  // namespace
}  // namespace load_balancer::testing
