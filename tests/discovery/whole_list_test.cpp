// SPDX-License-Identifier: Apache-2.0
//
// Whole lists: what they leave out is gone, whenever they come and whatever their revision.
#include <gtest/gtest.h>

#include "members.h"
#include "scripted_discovery.h"

namespace load_balancer::testing {
namespace {

constexpr std::chrono::milliseconds kLong{60000};

std::string Line(const nlohmann::json& list) { return list.dump() + "\n"; }

// Two servers that are known from the start, and a proxy.
class WholeList : public ::testing::Test {
 protected:
  void Start(const Tcp::endpoint& discovery) {
    config = ConfigJson(discovery, Members(One(), Two()));
    proxy = std::make_unique<RunningProxy>(config);
    // Both have had a request, so that each has an idle connection.
    Client client(proxy->address);
    for (int i = 0; i < 200 && !(Opened(one) && Opened(two)); ++i) client.Ask(Look());
    ASSERT_TRUE(Opened(one) && Opened(two));
  }
  static bool Opened(Backend& backend) { return backend.seen.Get().opened > 0; }
  nlohmann::json One(const std::string& phase = "in_service") {
    return MemberJson("s-1", one.address(), phase);
  }
  nlohmann::json Two(const std::string& phase = "in_service") {
    return MemberJson("s-2", two.address(), phase);
  }

  // Its connections close, and the other one serves all.
  void ExpectGone(Backend& gone, const std::string& other) {
    EXPECT_TRUE(gone.WaitForClosed(gone.seen.Get().opened));
    const std::size_t before = gone.seen.Get().requests.size();
    Client client(proxy->address);
    for (int i = 0; i < 20; ++i) EXPECT_EQ(client.Ask(Look()).body(), other);
    EXPECT_EQ(gone.seen.Get().requests.size(), before);
  }
  bool WaitUntilServedBy(const std::string& name) {
    Client client(proxy->address);
    const auto until = std::chrono::steady_clock::now() + kGiveUp;
    while (std::chrono::steady_clock::now() < until) {
      if (client.Ask(Look()).body() == name) return true;
    }
    return false;
  }
  void Reconfigure() {
    proxy->Ask([&](proxy::Proxy& p) {
      p.Reconfigure(proxy::Reconfigure(config.dump(), p.config()));
      return 0;
    });
  }

  Backend one{"one"}, two{"two"}, three{"three"};
  nlohmann::json config;
  std::unique_ptr<RunningProxy> proxy;
};

TEST_F(WholeList, AsTheFirstAnswerAfterAGapTakesOutWhatItLeavesOut) {
  Watched<bool> go;
  ScriptedDiscovery scripted([&](std::size_t call, Tcp::socket& socket) {
    BeginWatch(socket);
    if (call == 0) {
      go.WaitFor([](bool g) { return g; });
      return Reset(socket);
    }
    Say(socket, Line(ListJson(60, true, Members(Two()))));
  });
  Start(scripted.address());
  go.Do([](bool& g) { g = true; });
  ExpectGone(one, "two");
}

// Discovery has been restarted and counts from the beginning: its whole list is the list.
class WholeListOfRevision : public WholeList, public ::testing::WithParamInterface<int> {};

TEST_P(WholeListOfRevision, LowerThanTheKnownOneOrTheSameCounts) {
  Watched<bool> go;
  ScriptedDiscovery scripted([&](std::size_t, Tcp::socket& socket) {
    BeginWatch(socket);
    go.WaitFor([](bool g) { return g; });
    Say(socket, Line(ListJson(GetParam(), true, Members(Two()))));
  });
  Start(scripted.address());
  go.Do([](bool& g) { g = true; });
  ExpectGone(one, "two");
}

INSTANTIATE_TEST_SUITE_P(Restarted, WholeListOfRevision, ::testing::Values(41, 3));

TEST_F(WholeList, AfterAMoveOfDiscoveryTakesOutWhatItLeavesOut) {
  FakeDiscovery before;
  ScriptedDiscovery after([&](std::size_t, Tcp::socket& socket) {
    BeginWatch(socket);
    Say(socket, Line(ListJson(5, true, Members(One()))));
  });
  Start(before.address());
  config["discovery"] = "127.0.0.1:" + std::to_string(after.address().port());
  Reconfigure();
  ExpectGone(two, "one");
}

// A drain that came with a whole list, and the next one leaves the server out.
TEST_F(WholeList, ADrainedServerThatTheNextOneLeavesOutStaysOut) {
  FakeDiscovery discovery;
  Start(discovery.address());
  discovery.Push(ListJson(42, true, Members(One("terminating"), Two())));
  ExpectGone(one, "two");
  discovery.Push(ListJson(43, true, Members(Two())));
  discovery.Push(ListJson(44, true, Members(Two(), MemberJson("s-3", three.address()))));
  ASSERT_TRUE(WaitUntilServedBy("three"));
  EXPECT_EQ(one.seen.Get().opened, one.seen.Get().closed);
}

TEST_F(WholeList, OfTwoEntriesForOneServerTheLastCounts) {
  FakeDiscovery discovery;
  Start(discovery.address());
  discovery.Push(ListJson(42, true, Members(One(), Two(), One("terminating"))));
  ExpectGone(one, "two");
  discovery.Push(ListJson(43, true, Members(One("terminating"), Two(), One(), Two("terminating"))));
  ExpectGone(two, "one");
}

TEST_F(WholeList, AServerWithANewAddressOrAnewStartedIsServedThere) {
  FakeDiscovery discovery;
  Start(discovery.address());
  discovery.Push(ListJson(42, true, Members(MemberJson("s-1", three.address()))));
  EXPECT_TRUE(one.WaitForClosed(one.seen.Get().opened));
  ExpectGone(two, "three");
  const int opened = three.seen.Get().opened;
  discovery.Push(ListJson(43, true, Members(MemberJson("s-1", three.address(), "in_service", 1e12))));
  EXPECT_TRUE(three.WaitForClosed(opened)) << "connections to the process before are of no use";
  EXPECT_TRUE(WaitUntilServedBy("three"));
  EXPECT_GT(three.seen.Get().opened, opened);
}

TEST_F(WholeList, AnEmptyOneTakesOutAllAndTheNextOneBringsThemBack) {
  FakeDiscovery discovery;
  Start(discovery.address());
  discovery.Push(ListJson(42, true, {}));
  EXPECT_TRUE(one.WaitForClosed(one.seen.Get().opened));
  EXPECT_TRUE(two.WaitForClosed(two.seen.Get().opened));
  const std::size_t seen = one.seen.Get().requests.size() + two.seen.Get().requests.size();
  Client client(proxy->address);
  client.Send(Look());  // waits for a server
  discovery.Push(ListJson(43, true, Members(MemberJson("s-3", three.address()))));
  EXPECT_EQ(client.Read().body(), "three");
  EXPECT_EQ(one.seen.Get().requests.size() + two.seen.Get().requests.size(), seen);
}

// Changes older than the list that is known undo nothing; a whole list begins a new count.
TEST(ListRevisions, AnOlderChangeIsPassedOverAndAWholeListBeginsAnew) {
  ScriptedDiscovery scripted([](std::size_t, Tcp::socket& socket) {
    BeginWatch(socket);
    Say(socket, Line(ListJson(50, true, {})));
    Say(socket, Line(ListJson(49, false, {})));  // older
    Say(socket, Line(ListJson(50, false, {})));
    Say(socket, Line(ListJson(5, true, {})));
    Say(socket, Line(ListJson(4, false, {})));  // older
    Say(socket, Line(ListJson(6, false, {})));
    ::shutdown(socket.native_handle(), SHUT_WR);
  });
  Follower follower(scripted.address(), kLong);
  ASSERT_TRUE(scripted.WaitForCalls(2));
  EXPECT_EQ(scripted.targets()[1], "/v1/endpoints?stream=1&index=6");
  EXPECT_EQ(follower.revisions()[0], 50u);
  const auto all = follower.revisions();
  EXPECT_EQ(std::vector<std::uint64_t>(all.begin(), all.begin() + 4),
            (std::vector<std::uint64_t>{50, 50, 5, 6}));
}

// Taken for a large one it would make every later change an older one.
TEST(ListRevisions, ANegativeOneIsNoList) {
  std::string why;
  EXPECT_FALSE(proxy::ParseMembers(ListJson(-1, true, {}), &why));
  EXPECT_EQ(why, "the revision is negative");
  EXPECT_TRUE(proxy::ParseMembers(ListJson(0, true, {}), &why)) << why;
}

}  // namespace
}  // namespace load_balancer::testing
