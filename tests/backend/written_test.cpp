// SPDX-License-Identifier: Apache-2.0
//
// A request may have run only if its last byte was written. These tests end attempts between the write and
// its completion handler and check the reported outcome.
#include <gtest/gtest.h>

#include "backend/backends_fixture.h"

namespace load_balancer::testing {
namespace {

constexpr Duration kLongTimeout{30000};

// Reads a request without running the event loop, as Send writes it synchronously.
HttpRequest ReadAtOnce(Tcp::socket& socket) {
  boost::beast::flat_buffer buffer;
  HttpRequest request;
  http::read(socket, buffer, request);
  return request;
}

// Serves the current request, after which the connection is idle.
void MakeIdle(BackendsFixture& fixture, Tcp::socket& peer) {
  fixture.ReadRequest(peer);
  SendRaw(peer, OkAnswer("served"));
  fixture.RunUntilResult();
  ASSERT_TRUE(fixture.result.has_value());
  ASSERT_EQ(fixture.result->outcome, Outcome::kOk);
}

TEST(Written, ARequestContinuesIfItWasWrittenBeforeItsWriteHandlerRan) {
  BackendsFixture fixture;
  fixture.Send(kLongTimeout);
  Tcp::socket peer = fixture.Accept();
  MakeIdle(fixture, peer);
  const AttemptId attempt = fixture.Send(kLongTimeout, 1000);
  EXPECT_EQ(ReadAtOnce(peer).body().size(), 1000u);
  fixture.backends.CancelIfUnwritten(attempt);  // has no effect, as the request may run
  EXPECT_FALSE(fixture.result.has_value());
  SendRaw(peer, OkAnswer("served"));
  fixture.RunUntilResult();
  ASSERT_TRUE(fixture.result.has_value());
  EXPECT_EQ(fixture.result->outcome, Outcome::kOk);
  EXPECT_EQ(fixture.backends.opened(), 1u);
}

// The server closes the connection after the proxy has found it open and written the request.
TEST(Written, ACloseThatCrossesARequestOnAReusedConnectionIsAReset) {
  BackendsFixture fixture;
  fixture.Send(kLongTimeout);
  {
    Tcp::socket peer = fixture.Accept();
    MakeIdle(fixture, peer);
    fixture.Send(kLongTimeout);
    ReadAtOnce(peer);
  }
  fixture.RunUntilResult();
  ASSERT_TRUE(fixture.result.has_value());
  EXPECT_EQ(fixture.result->outcome, Outcome::kReset);
  EXPECT_EQ(fixture.backends.connections(), 0u);
}

// The close has been received, but the event loop has not handled it when the connection is needed.
TEST(Written, AnIdleConnectionWithAnUnhandledCloseIsNotReused) {
  BackendsFixture fixture;
  fixture.Send(kLongTimeout);
  {
    Tcp::socket peer = fixture.Accept();
    MakeIdle(fixture, peer);
  }
  fixture.Send(kLongTimeout);
  Tcp::socket peer = fixture.Accept();
  MakeIdle(fixture, peer);
  EXPECT_EQ(fixture.backends.opened(), 2u);
}

// Unexpected bytes have been received, but the event loop has not handled them.
TEST(Written, AnIdleConnectionWithUnreadBytesIsNotReused) {
  BackendsFixture fixture;
  fixture.Send(kLongTimeout);
  Tcp::socket first = fixture.Accept();
  MakeIdle(fixture, first);
  SendRaw(first, OkAnswer("again"));
  fixture.Send(kLongTimeout);
  Tcp::socket peer = fixture.Accept();
  MakeIdle(fixture, peer);
  EXPECT_EQ(fixture.result->response.body(), "served");
  EXPECT_EQ(fixture.backends.opened(), 2u);
}

// The connection is closed before the outcome is reported, so that the next attempt does not count it as
// open.
TEST(Written, TheConnectionOfATimedOutAttemptIsClosedBeforeTheOutcomeIsReported) {
  BackendsFixture fixture;
  std::size_t open_at_end = 99;
  HttpRequest request{http::verb::get, "/look", 11};
  std::optional<Outcome> outcome;
  fixture.backends.Send(kServer, MakeOutgoing(std::move(request)), Duration(50),
                        {[](proxy::ResponseHead) {},
                         [&](AttemptResult result) {
                           outcome = result.outcome;
                           open_at_end = fixture.backends.connections();
                         }});
  Tcp::socket peer = fixture.Accept();
  fixture.ReadRequest(peer);
  const auto until = std::chrono::steady_clock::now() + kGiveUp;
  while (!outcome && std::chrono::steady_clock::now() < until) fixture.RunOnce();
  EXPECT_EQ(outcome, Outcome::kTimeout);
  EXPECT_EQ(open_at_end, 0u);
  char byte;
  error_code ended;
  peer.read_some(asio::buffer(&byte, 1), ended);
  EXPECT_EQ(ended, asio::error::eof);
}

}  // namespace
}  // namespace load_balancer::testing
