// SPDX-License-Identifier: Apache-2.0
//
// A connection to a server may come up long after the request was given to the server. Nothing is written to
// it if the list has taken the server out of service, or has moved it, meanwhile.
#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <thread>

#include "backend/blocked_listener.h"

namespace load_balancer::testing {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

// From when a proxy is told that a server drains, it may send new requests there for this long.
constexpr milliseconds kDrainGrace{2000};
// The system tries a blocked connection again 1 s and 3 s after it was opened.
constexpr milliseconds kUnblockAfter{1500};
constexpr milliseconds kConnectedAfter{3500};

class Outdated : public ::testing::Test {
 protected:
  // Sends a request while s-1, to which no connection comes up, is the only server.
  void SendToBlockedServer() {
    client.Send(Look("Req-Deadline-Ms: 6000\r\n"));
    while (proxy.Ask([](proxy::Proxy& p) { return p.held(); }) == 0) std::this_thread::yield();
    ASSERT_TRUE(discovery.WaitForWatches(1));
  }
  // Expects the response of the other server within the grace, and nothing at the blocked one, to which the
  // connection comes up after the grace.
  void ExpectOnlyTheOtherServerIsUsed() {
    const auto told_at = Clock::now();
    std::thread unblock([&] {
      std::this_thread::sleep_until(told_at + kUnblockAfter);
      blocked.Unblock();
    });
    EXPECT_EQ(client.Read().body(), "served by the other");
    EXPECT_LT(Clock::now() - told_at, kDrainGrace);
    std::this_thread::sleep_until(told_at + kConnectedAfter);
    unblock.join();
    asio::io_context io;
    Tcp::socket peer(io);
    EXPECT_EQ(blocked.Accept(&peer) ? peer.available() : 0, 0u) << "bytes of a request";
  }

  BlockedListener blocked;
  Backend other{"served by the other"};
  FakeDiscovery discovery;
  RunningProxy proxy{ConfigJson(discovery.address(), Members(MemberJson("s-1", blocked.address())))};
  Client client{proxy.address};
};

// Guards against a request that is written to a draining server as its connection comes up late.
TEST_F(Outdated, ARequestGoesElsewhereIfItsServerDrainsWhileConnecting) {
  SendToBlockedServer();
  discovery.Push(ListJson(
      42, false,
      Members(MemberJson("s-1", blocked.address(), "terminating"), MemberJson("s-2", other.address()))));
  ExpectOnlyTheOtherServerIsUsed();
}

// Guards against the same where a complete list leaves the server out.
TEST_F(Outdated, ARequestGoesElsewhereIfItsServerLeavesTheListWhileConnecting) {
  SendToBlockedServer();
  discovery.Push(ListJson(42, true, Members(MemberJson("s-2", other.address()))));
  ExpectOnlyTheOtherServerIsUsed();
}

// Guards against a request that is written to an address that is no longer its server's.
TEST_F(Outdated, ARequestFollowsAServerThatMovesWhileConnecting) {
  SendToBlockedServer();
  discovery.Push(ListJson(42, false, Members(MemberJson("s-1", other.address()))));
  ExpectOnlyTheOtherServerIsUsed();
}

}  // namespace
}  // namespace load_balancer::testing
