// SPDX-License-Identifier: Apache-2.0
//
// Clients that disconnect while their request is being sent. The server must not start the request
// afterwards.
#include <gtest/gtest.h>

#include <chrono>
#include <thread>

#include "backend/backends_fixture.h"
#include "backend/blocked_listener.h"

namespace load_balancer::testing {
namespace {

constexpr Duration kLongTimeout{30000};
constexpr std::size_t kMoreThanSocketBuffers = 32 * 1024 * 1024;

std::chrono::steady_clock::time_point TestDeadline() { return std::chrono::steady_clock::now() + kGiveUp; }

// Two attempts open their connections one after the other, and the first attempt is cancelled. The first
// connection that is then established must carry the second request.
TEST(ClientGone, AnAttemptThatIsStillConnectingIsCancelled) {
  BlockedListener listener;
  Backends::Limits limits;
  limits.connect_timeout = Duration(20000);
  BackendsFixture fixture(limits);
  fixture.backends.Set(kServer, listener.address(), 0);
  const AttemptId attempt = fixture.Send(kLongTimeout, 0, "/first");
  fixture.RunOnce();
  fixture.backends.CancelIfUnwritten(attempt);
  ASSERT_TRUE(fixture.result.has_value());
  EXPECT_EQ(fixture.result->outcome, Outcome::kNotSent);
  EXPECT_EQ(fixture.backends.connections(), 0u);
  // Without the cancellation, the retry of the first connection would be established before the second one.
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  fixture.Send(kLongTimeout, 0, "/second");
  fixture.RunOnce();
  listener.Unblock();
  Tcp::socket peer(fixture.peers);
  const auto until = TestDeadline();
  while (!listener.Accept(&peer) && std::chrono::steady_clock::now() < until) fixture.RunOnce();
  ASSERT_TRUE(peer.is_open());
  EXPECT_EQ(fixture.ReadRequest(peer).target(), "/second");
}

// The connection is established, but the event loop has not handled that yet.
TEST(ClientGone, AnAttemptWhoseConnectionWasJustEstablishedWritesNothing) {
  BackendsFixture fixture;
  const AttemptId attempt = fixture.Send(kLongTimeout);
  Tcp::socket peer = fixture.Accept();
  fixture.backends.CancelIfUnwritten(attempt);
  ASSERT_TRUE(fixture.result.has_value());
  EXPECT_EQ(fixture.result->outcome, Outcome::kNotSent);
  EXPECT_EQ(fixture.ReadToEnd(peer), "");
}

TEST(ClientGone, APartlyWrittenRequestIsAborted) {
  BackendsFixture fixture;
  const AttemptId attempt = fixture.Send(kLongTimeout, kMoreThanSocketBuffers);
  Tcp::socket peer = fixture.Accept();
  while (peer.available() == 0) fixture.RunOnce();
  fixture.backends.CancelIfUnwritten(attempt);
  ASSERT_TRUE(fixture.result.has_value());
  EXPECT_EQ(fixture.result->outcome, Outcome::kNotSent);
  EXPECT_LT(fixture.ReadToEnd(peer).size(), kMoreThanSocketBuffers);
}

TEST(ClientGone, ACompletelyWrittenRequestContinues) {
  BackendsFixture fixture;
  const AttemptId attempt = fixture.Send(kLongTimeout);
  Tcp::socket peer = fixture.Accept();
  fixture.ReadRequest(peer);
  fixture.RunOnce();
  fixture.backends.CancelIfUnwritten(attempt);
  EXPECT_FALSE(fixture.result.has_value());
  SendRaw(peer, OkAnswer("served"));
  fixture.RunUntilResult();
  ASSERT_TRUE(fixture.result.has_value());
  EXPECT_EQ(fixture.result->outcome, Outcome::kOk);
  // The connection now carries another attempt, which the id of the first one must not cancel.
  fixture.Send(kLongTimeout);
  fixture.backends.CancelIfUnwritten(attempt);
  EXPECT_FALSE(fixture.result.has_value());
  fixture.ReadRequest(peer);
  EXPECT_EQ(fixture.backends.opened(), 1u);
}

// The whole proxy is tested: the client closes its connection while the connection to its server is being
// opened.
TEST(ClientGone, NothingIsSentToAServerWhoseConnectionIsEstablishedLater) {
  BlockedListener listener;
  FakeDiscovery discovery;
  RunningProxy proxy(ConfigJson(discovery.address(), Members(MemberJson("s1", listener.address()))));
  const auto pending = [&] { return proxy.Ask([](proxy::Proxy& p) { return p.held(); }); };
  const auto wait_until_pending = [&](std::size_t n) {
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (pending() != n && std::chrono::steady_clock::now() < until) std::this_thread::yield();
    return pending() == n;
  };
  {
    Client leaving(proxy.address);
    leaving.Send(Book());
    ASSERT_TRUE(wait_until_pending(1));
  }
  EXPECT_TRUE(wait_until_pending(0));
  Client staying(proxy.address);
  staying.Send(Look());
  EXPECT_TRUE(wait_until_pending(1));
  listener.Unblock();
  asio::io_context io;
  Tcp::socket peer(io);
  const auto until = TestDeadline();
  while (!listener.Accept(&peer) && std::chrono::steady_clock::now() < until) std::this_thread::yield();
  ASSERT_TRUE(peer.is_open());
  boost::beast::flat_buffer buffer;
  HttpRequest request;
  http::read(peer, buffer, request);
  EXPECT_EQ(request["Req-Kind"], "look");
  SendRaw(peer, OkAnswer("served"));
  EXPECT_EQ(staying.Read().body(), "served");
}

}  // namespace
}  // namespace load_balancer::testing
