// SPDX-License-Identifier: Apache-2.0
//
// A server sends a response twice, the second time some ms late. The duplicate must not be taken for the
// response to the next request.
#include <gtest/gtest.h>

#include <chrono>
#include <thread>

#include "backend/backends_fixture.h"

namespace load_balancer::testing {
namespace {

constexpr Duration kLongTimeout{30000};

void ServeRequest(BackendsFixture& fixture, Tcp::socket& peer, const std::string& body) {
  fixture.ReadRequest(peer);
  SendRaw(peer, OkAnswer(body));
  fixture.RunUntilResult();
  ASSERT_TRUE(fixture.result.has_value());
  ASSERT_EQ(fixture.result->outcome, Outcome::kOk);
  EXPECT_EQ(fixture.result->response.body(), body);
}

// The duplicate arrives on an idle connection.
TEST(DuplicateResponse, ClosesAnIdleConnection) {
  BackendsFixture fixture;
  fixture.Send(kLongTimeout);
  Tcp::socket peer = fixture.Accept();
  ServeRequest(fixture, peer, "first");
  SendRaw(peer, OkAnswer("first"));
  const auto until = std::chrono::steady_clock::now() + kGiveUp;
  while (fixture.backends.connections() > 0 && std::chrono::steady_clock::now() < until) fixture.RunOnce();
  EXPECT_EQ(fixture.backends.connections(), 0u);
}

// After a first duplicate, another duplicate could arrive while the next request uses the same connection.
// The next request must therefore be sent on another connection.
TEST(DuplicateResponse, AfterOneTheNextRequestUsesAnotherConnection) {
  BackendsFixture fixture;
  fixture.Send(kLongTimeout);
  Tcp::socket duplicating = fixture.Accept();
  ServeRequest(fixture, duplicating, "first");
  SendRaw(duplicating, OkAnswer("first"));
  fixture.Send(kLongTimeout);
  Tcp::socket peer = fixture.Accept();
  ServeRequest(fixture, peer, "second");
  fixture.Send(kLongTimeout);
  fixture.RunOnce();
  SendRaw(peer, OkAnswer("second"));
  Tcp::socket next = fixture.Accept();
  ServeRequest(fixture, next, "third");
  EXPECT_EQ(fixture.backends.opened(), 3u);
}

TEST(DuplicateResponse, ReceivedTogetherWithTheOriginalIsDetected) {
  BackendsFixture fixture;
  fixture.Send(kLongTimeout);
  Tcp::socket duplicating = fixture.Accept();
  fixture.ReadRequest(duplicating);
  SendRaw(duplicating, OkAnswer("first") + OkAnswer("first"));
  fixture.RunUntilResult();
  ASSERT_TRUE(fixture.result.has_value());
  EXPECT_EQ(fixture.result->response.body(), "first");
  fixture.Send(kLongTimeout);
  Tcp::socket peer = fixture.Accept();
  ServeRequest(fixture, peer, "second");
  fixture.Send(kLongTimeout);
  Tcp::socket next = fixture.Accept();
  ServeRequest(fixture, next, "third");
  EXPECT_EQ(fixture.backends.opened(), 3u);
}

TEST(DuplicateResponse, AConnectionIsReusedAfterTheMinimumIdleTime) {
  BackendsFixture fixture;
  fixture.Send(kLongTimeout);
  Tcp::socket duplicating = fixture.Accept();
  ServeRequest(fixture, duplicating, "first");
  SendRaw(duplicating, OkAnswer("first"));
  fixture.Send(kLongTimeout);
  Tcp::socket peer = fixture.Accept();
  ServeRequest(fixture, peer, "second");
  std::this_thread::sleep_for(std::chrono::milliseconds(60));  // longer than kMinIdleBeforeReuse
  fixture.Send(kLongTimeout);
  ServeRequest(fixture, peer, "third");
  EXPECT_EQ(fixture.backends.opened(), 2u);
}

// A closed connection is not a duplicate response, so connections are still reused at once.
TEST(DuplicateResponse, AClosedConnectionDoesNotCountAsOne) {
  BackendsFixture fixture;
  fixture.Send(kLongTimeout);
  {
    Tcp::socket ends = fixture.Accept();
    ServeRequest(fixture, ends, "first");
  }
  fixture.Send(kLongTimeout);
  Tcp::socket peer = fixture.Accept();
  ServeRequest(fixture, peer, "second");
  fixture.Send(kLongTimeout);
  ServeRequest(fixture, peer, "third");
  EXPECT_EQ(fixture.backends.opened(), 2u);
}

}  // namespace
}  // namespace load_balancer::testing
