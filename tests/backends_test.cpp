// SPDX-License-Identifier: Apache-2.0
//
// Tests of attempts and their connections. The test itself plays the server and advances the event loop step
// by step.
#include "backends.h"

#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <thread>

#include "backend/backends_fixture.h"

namespace load_balancer::testing {
namespace {

// The event loop handles the timeout and the rest of the response in one iteration, the timeout first.
TEST(Backends, AResponseThatArrivesAsItsAttemptTimesOutIsDropped) {
  BackendsFixture fixture;
  fixture.Send(Duration(500));
  Tcp::socket peer = fixture.Accept();
  fixture.ReadRequest(peer);
  const auto due = std::chrono::steady_clock::now() + std::chrono::milliseconds(501);
  // Larger than one read, so that a second read is in progress when the timeout expires.
  SendRaw(peer, "HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n" + std::string(5000, 'x'));
  std::this_thread::sleep_until(due);
  fixture.RunUntilResult();
  ASSERT_TRUE(fixture.result.has_value());
  EXPECT_EQ(fixture.result->outcome, Outcome::kTimeout);
  EXPECT_EQ(fixture.backends.connections(), 0u);
  fixture.RunOnce();
}

TEST(Backends, ATimeoutInTheMiddleOfARequestCountsAsConnectFailed) {
  BackendsFixture fixture;
  fixture.Send(Duration(50), 32 * 1024 * 1024);
  Tcp::socket peer = fixture.Accept();
  fixture.RunUntilResult();
  ASSERT_TRUE(fixture.result.has_value());
  EXPECT_EQ(fixture.result->outcome, Outcome::kConnectFailed);
  EXPECT_EQ(fixture.backends.connections(), 0u);
  fixture.RunOnce();
}

TEST(Backends, AResponseInPiecesIsCompleteAndItsConnectionIsReused) {
  BackendsFixture fixture;
  fixture.Send(Duration(30000));
  Tcp::socket peer = fixture.Accept();
  for (int round = 0; round < 2; ++round) {
    fixture.ReadRequest(peer);
    const std::string answer = OkAnswer(std::string(3000, 'x'));
    for (std::size_t at = 0; at < answer.size(); at += 700) {
      EXPECT_FALSE(fixture.result.has_value());
      SendRaw(peer, answer.substr(at, 700));
      fixture.RunOnce();
    }
    fixture.RunUntilResult();
    ASSERT_TRUE(fixture.result.has_value());
    EXPECT_EQ(fixture.result->outcome, Outcome::kOk);
    EXPECT_EQ(fixture.result->response.body().size(), 3000u);
    if (round == 0) fixture.Send(Duration(30000));
  }
  EXPECT_EQ(fixture.backends.opened(), 1u);
}

TEST(Backends, TheFinalResponseIsReadAfterInterimOnes) {
  BackendsFixture fixture;
  fixture.Send(Duration(30000));
  Tcp::socket peer = fixture.Accept();
  fixture.ReadRequest(peer);
  SendRaw(peer, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 O");
  fixture.RunOnce();
  EXPECT_FALSE(fixture.result.has_value());
  SendRaw(peer, "K\r\nContent-Length: 2\r\n\r\nOK");
  fixture.RunUntilResult();
  ASSERT_TRUE(fixture.result.has_value());
  EXPECT_EQ(fixture.result->outcome, Outcome::kOk);
  EXPECT_EQ(fixture.result->response.body(), "OK");
  fixture.Send(Duration(30000));
  fixture.ReadRequest(peer);
  SendRaw(peer, "HTTP/1.1 101 Switching Protocols\r\n\r\n");
  fixture.RunUntilResult();
  ASSERT_TRUE(fixture.result.has_value());
  EXPECT_NE(fixture.result->outcome, Outcome::kOk);
  EXPECT_EQ(fixture.backends.opened(), 1u);
}

TEST(Backends, AnInterimResponseAloneIsAReset) {
  BackendsFixture fixture;
  fixture.Send(Duration(30000));
  {
    Tcp::socket peer = fixture.Accept();
    fixture.ReadRequest(peer);
    SendRaw(peer, "HTTP/1.1 103 Early Hints\r\n\r\n");
  }
  fixture.RunUntilResult();
  ASSERT_TRUE(fixture.result.has_value());
  EXPECT_EQ(fixture.result->outcome, Outcome::kReset);
}

TEST(Backends, AFullPoolIsNotAFailureOfTheServer) {
  Backends::Limits limits;
  limits.max_connections = [] { return 1; };
  BackendsFixture fixture(limits);
  std::optional<AttemptResult> first;
  fixture.backends.Send(kServer, MakeOutgoing(HttpRequest{http::verb::get, "/look", 11}), Duration(30000),
                        StoreResult(&first));
  fixture.Send(Duration(30000));
  fixture.RunUntilResult();
  ASSERT_TRUE(fixture.result.has_value());
  EXPECT_EQ(fixture.result->outcome, Outcome::kNotSent);
  EXPECT_FALSE(first.has_value());
  // The first attempt continues. Its connection is closed once it is idle, so that another can be opened.
  Tcp::socket peer = fixture.Accept();
  fixture.ReadRequest(peer);
  SendRaw(peer, OkAnswer("served"));
  const auto until = std::chrono::steady_clock::now() + kGiveUp;
  while (!first && std::chrono::steady_clock::now() < until) fixture.RunOnce();
  ASSERT_TRUE(first.has_value());
  EXPECT_EQ(first->outcome, Outcome::kOk);
  Tcp::acceptor elsewhere(fixture.peers, kAnyPort);
  fixture.backends.Set(kServer + 1, elsewhere.local_endpoint(), 0);
  fixture.result.reset();
  fixture.backends.Send(kServer + 1, MakeOutgoing(HttpRequest{http::verb::get, "/look", 11}), Duration(30000),
                        StoreResult(&fixture.result));
  Tcp::socket other(fixture.peers);
  elsewhere.accept(other);
  fixture.ReadRequest(other);
  SendRaw(other, OkAnswer("served"));
  fixture.RunUntilResult();
  ASSERT_TRUE(fixture.result.has_value());
  EXPECT_EQ(fixture.result->outcome, Outcome::kOk);
  EXPECT_EQ(fixture.backends.connections(), 1u);
}

// The second piece of a response and the expiry of the buffering time are handled in one event loop
// iteration.
TEST(Backends, ATimerThatExpiresAsStreamingStartsDoesNotAbortTheResponse) {
  BackendsFixture fixture;
  std::optional<proxy::ResponseHead> streamed_head;
  std::optional<AttemptResult> result;
  fixture.backends.Send(kServer, MakeOutgoing(HttpRequest{http::verb::get, "/look", 11}), Duration(30000),
                        {[&](proxy::ResponseHead head) { streamed_head = std::move(head); },
                         [&](AttemptResult ended) { result = std::move(ended); }});
  Tcp::socket peer = fixture.Accept();
  fixture.ReadRequest(peer);
  SendRaw(peer, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n");
  for (int i = 0; i < 100; ++i) fixture.RunOnce();
  std::this_thread::sleep_for(std::chrono::milliseconds(300));  // longer than the buffering time
  SendRaw(peer, "6\r\nsecond\r\n");
  const auto until = std::chrono::steady_clock::now() + kGiveUp;
  while (!streamed_head && std::chrono::steady_clock::now() < until) fixture.RunOnce();
  ASSERT_TRUE(streamed_head.has_value());
  for (int i = 0; i < 100; ++i) fixture.RunOnce();
  EXPECT_FALSE(result.has_value());
  SendRaw(peer, "0\r\n\r\n");
  std::string got;
  bool last = false;
  while (!last && std::chrono::steady_clock::now() < until) {
    bool given = false;
    streamed_head->body->Next([&](proxy::Piece piece) {
      ASSERT_FALSE(piece.failed);
      given = true;
      got += piece.bytes;
      last = piece.last;
    });
    while (!given && std::chrono::steady_clock::now() < until) fixture.RunOnce();
  }
  EXPECT_EQ(got, "firstsecond");
  ASSERT_TRUE(result.has_value());
  EXPECT_EQ(result->outcome, Outcome::kOk);
}

}  // namespace
}  // namespace load_balancer::testing
