// SPDX-License-Identifier: Apache-2.0
//
// Whether a request's last byte was written decides whether it may have run: what is told of an attempt that
// ends between the write and the news of it.
#include <gtest/gtest.h>

#include "backend/backends_fixture.h"

namespace load_balancer::testing {
namespace {

constexpr Duration kLong{30000};

// A request read without a turn of the event loop: it was written by who sent it.
HttpRequest ReadAtOnce(Tcp::socket& socket) {
  boost::beast::flat_buffer buffer;
  HttpRequest request;
  http::read(socket, buffer, request);
  return request;
}

void MakeIdle(Bench& bench, Tcp::socket& peer) {
  bench.ReadRequest(peer);
  SendRaw(peer, OkAnswer("served"));
  bench.RunUntilResult();
  ASSERT_TRUE(bench.result.has_value());
  ASSERT_EQ(bench.result->outcome, Outcome::kOk);
}

TEST(Written, ARequestGoesOnThatWasWrittenBeforeTheEventLoopHeardOfIt) {
  Bench bench;
  bench.Send(kLong);
  Tcp::socket peer = bench.Accept();
  MakeIdle(bench, peer);
  const AttemptId attempt = bench.Send(kLong, 1000);
  EXPECT_EQ(ReadAtOnce(peer).body().size(), 1000u);
  bench.backends.GiveUp(attempt);  // it may run: nothing else can be said of it
  EXPECT_FALSE(bench.result.has_value());
  SendRaw(peer, OkAnswer("served"));
  bench.RunUntilResult();
  ASSERT_TRUE(bench.result.has_value());
  EXPECT_EQ(bench.result->outcome, Outcome::kOk);
  EXPECT_EQ(bench.backends.opened(), 1u);
}

// Between the check that the connection is open and the backend's close lies the request.
TEST(Written, ACloseThatCrossesTheRequestOnAnIdleConnectionIsAResetThatMayHaveRun) {
  Bench bench;
  bench.Send(kLong);
  {
    Tcp::socket peer = bench.Accept();
    MakeIdle(bench, peer);
    bench.Send(kLong);
    ReadAtOnce(peer);
  }
  bench.RunUntilResult();
  ASSERT_TRUE(bench.result.has_value());
  EXPECT_EQ(bench.result->outcome, Outcome::kReset);
  EXPECT_EQ(bench.backends.connections(), 0u);
}

// The close has arrived, and the event loop has not heard of it as the connection is to be used.
TEST(Written, AnIdleConnectionWhoseCloseIsUnreadIsNotUsed) {
  Bench bench;
  bench.Send(kLong);
  {
    Tcp::socket peer = bench.Accept();
    MakeIdle(bench, peer);
  }
  bench.Send(kLong);
  Tcp::socket peer = bench.Accept();
  MakeIdle(bench, peer);
  EXPECT_EQ(bench.backends.opened(), 2u);
}

// Bytes that nobody asked for have arrived, and the event loop has not heard of them.
TEST(Written, AnIdleConnectionWithBytesUnreadIsNotUsed) {
  Bench bench;
  bench.Send(kLong);
  Tcp::socket first = bench.Accept();
  MakeIdle(bench, first);
  SendRaw(first, OkAnswer("again"));
  bench.Send(kLong);
  Tcp::socket peer = bench.Accept();
  MakeIdle(bench, peer);
  EXPECT_EQ(bench.result->response.body(), "served");
  EXPECT_EQ(bench.backends.opened(), 2u);
}

// It is closed before its end is told, so that whoever sends the next one finds none of it open.
TEST(Written, AnAttemptThatTimedOutIsClosedBeforeItsEndIsTold) {
  Bench bench;
  std::size_t open_at_end = 99;
  HttpRequest request{http::verb::get, "/look", 11};
  std::optional<Outcome> outcome;
  bench.backends.Send(kServer, Out(std::move(request)), Duration(50),
                      {[](proxy::AnswerHead) {},
                       [&](AttemptResult result) {
                         outcome = result.outcome;
                         open_at_end = bench.backends.connections();
                       }});
  Tcp::socket peer = bench.Accept();
  bench.ReadRequest(peer);
  const auto until = std::chrono::steady_clock::now() + kGiveUp;
  while (!outcome && std::chrono::steady_clock::now() < until) bench.RunOnce();
  EXPECT_EQ(outcome, Outcome::kTimeout);
  EXPECT_EQ(open_at_end, 0u);
  char byte;
  error_code ended;
  peer.read_some(asio::buffer(&byte, 1), ended);
  EXPECT_EQ(ended, asio::error::eof);
}

}  // namespace
}  // namespace load_balancer::testing
