// SPDX-License-Identifier: Apache-2.0
//
// Clients that leave while their request is on its way to a backend: nothing begins there afterwards.
#include <gtest/gtest.h>

#include <chrono>
#include <thread>

#include "backend/backends_fixture.h"
#include "backend/blocked_listener.h"

namespace load_balancer::testing {
namespace {

constexpr Duration kLong{30000};
constexpr std::size_t kMoreThanASocketHolds = 32 * 1024 * 1024;

std::chrono::steady_clock::time_point GiveUpAt() { return std::chrono::steady_clock::now() + kGiveUp; }

// Two connections are dialed, one after the other; the first to come up is of the request that is left.
TEST(ClientGone, AnAttemptThatIsStillDialedNeverBegins) {
  HeldListener listener;
  Backends::Limits limits;
  limits.connect_timeout = Duration(20000);
  Bench bench(limits);
  bench.backends.Set(kServer, listener.address(), 0);
  const AttemptId attempt = bench.Send(kLong, 0, "/first");
  bench.RunOnce();
  bench.backends.GiveUp(attempt);
  ASSERT_TRUE(bench.result.has_value());
  EXPECT_EQ(bench.result->outcome, Outcome::kNotSent);
  EXPECT_EQ(bench.backends.connections(), 0u);
  // So that without the end above the first connection would be tried again, and come up, before the second.
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  bench.Send(kLong, 0, "/second");
  bench.RunOnce();
  listener.LetIn();
  Tcp::socket peer(bench.peers);
  const auto until = GiveUpAt();
  while (!listener.Accept(&peer) && std::chrono::steady_clock::now() < until) bench.RunOnce();
  ASSERT_TRUE(peer.is_open());
  EXPECT_EQ(bench.ReadRequest(peer).target(), "/second");
}

// The connection is up, and the event loop has not heard of it.
TEST(ClientGone, AnAttemptWhoseConnectionHasJustComeUpWritesNothing) {
  Bench bench;
  const AttemptId attempt = bench.Send(kLong);
  Tcp::socket peer = bench.Accept();
  bench.backends.GiveUp(attempt);
  ASSERT_TRUE(bench.result.has_value());
  EXPECT_EQ(bench.result->outcome, Outcome::kNotSent);
  EXPECT_EQ(bench.ReadToEnd(peer), "");
}

TEST(ClientGone, ARequestWrittenInPartIsBrokenOff) {
  Bench bench;
  const AttemptId attempt = bench.Send(kLong, kMoreThanASocketHolds);
  Tcp::socket peer = bench.Accept();
  while (peer.available() == 0) bench.RunOnce();
  bench.backends.GiveUp(attempt);
  ASSERT_TRUE(bench.result.has_value());
  EXPECT_EQ(bench.result->outcome, Outcome::kNotSent);
  EXPECT_LT(bench.ReadToEnd(peer).size(), kMoreThanASocketHolds);
}

TEST(ClientGone, ARequestWrittenWholeGoesOn) {
  Bench bench;
  const AttemptId attempt = bench.Send(kLong);
  Tcp::socket peer = bench.Accept();
  bench.ReadRequest(peer);
  bench.RunOnce();
  bench.backends.GiveUp(attempt);
  EXPECT_FALSE(bench.result.has_value());
  SendRaw(peer, OkAnswer("served"));
  bench.RunUntilResult();
  ASSERT_TRUE(bench.result.has_value());
  EXPECT_EQ(bench.result->outcome, Outcome::kOk);
  // The connection has another attempt now, which the old name does not stand for.
  bench.Send(kLong);
  bench.backends.GiveUp(attempt);
  EXPECT_FALSE(bench.result.has_value());
  bench.ReadRequest(peer);
  EXPECT_EQ(bench.backends.opened(), 1u);
}

// The same through the proxy: the client closes its connection while the one to its server is dialed.
TEST(ClientGone, NothingOfItsRequestReachesAServerThatAnswersItsDialLate) {
  HeldListener listener;
  FakeDiscovery discovery;
  RunningProxy proxy(ConfigJson(discovery.address(), Members(MemberJson("s1", listener.address()))));
  const auto held = [&] { return proxy.Ask([](proxy::Proxy& p) { return p.held(); }); };
  const auto wait_until_held = [&](std::size_t n) {
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (held() != n && std::chrono::steady_clock::now() < until) std::this_thread::yield();
    return held() == n;
  };
  {
    Client leaves(proxy.address);
    leaves.Send(Book());
    ASSERT_TRUE(wait_until_held(1));
  }
  EXPECT_TRUE(wait_until_held(0));
  Client stays(proxy.address);
  stays.Send(Look());
  EXPECT_TRUE(wait_until_held(1));
  listener.LetIn();
  asio::io_context io;
  Tcp::socket peer(io);
  const auto until = GiveUpAt();
  while (!listener.Accept(&peer) && std::chrono::steady_clock::now() < until) std::this_thread::yield();
  ASSERT_TRUE(peer.is_open());
  boost::beast::flat_buffer buffer;
  HttpRequest request;
  http::read(peer, buffer, request);
  EXPECT_EQ(request["Req-Kind"], "look");
  SendRaw(peer, OkAnswer("served"));
  EXPECT_EQ(stays.Read().body(), "served");
}

}  // namespace
}  // namespace load_balancer::testing
