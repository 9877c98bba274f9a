// SPDX-License-Identifier: Apache-2.0
//
// What falls into one turn of the event loop: a test runs the loop by hand, so that the turn holds what it
// says.
#include <gtest/gtest.h>

#include <boost/asio/steady_timer.hpp>

#include "scripted_discovery.h"

namespace load_balancer::testing {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLongestFirstPause{50};

// Watches on the test's own thread.
class ByHand {
  asio::io_context io_;  // first: it outlives what runs on it

 public:
  explicit ByHand(const Tcp::endpoint& address) : io_(1) {
    discovery = std::make_unique<proxy::Discovery>(
        io_, Follower::OptionsOf(address), [this](const proxy::MemberList& list) { OnList(list); }, [] {});
    discovery->Watch();
  }

  // False if `reached` stays false.
  template <typename Test>
  bool RunUntil(Test reached) {
    const auto until = std::chrono::steady_clock::now() + kGiveUp;
    while (!reached() && std::chrono::steady_clock::now() < until) RunOne();
    return reached();
  }
  bool RunUntilRevision(std::uint64_t revision) {
    return RunUntil([&] { return !revisions.empty() && revisions.back() == revision; });
  }
  // After a call has failed: carries `what` out in the turn in which the pause ends, just before the next
  // call would be made.
  void AsThePauseEnds(std::function<void()> what) {
    asio::steady_timer earlier(io_, milliseconds(1));
    earlier.async_wait([&](const error_code&) { what(); });
    std::this_thread::sleep_for(2 * kLongestFirstPause);  // both have expired when the loop looks next
    io_.restart();
    io_.poll();
  }

  std::unique_ptr<proxy::Discovery> discovery;
  std::vector<std::uint64_t> revisions;
  std::function<void()> on_list = [] {};

 private:
  void RunOne() {
    io_.restart();  // it stops whenever it has nothing to wait for
    io_.run_one_for(milliseconds(20));
  }
  void OnList(const proxy::MemberList& list) {
    revisions.push_back(list.revision);
    on_list();
  }
};

void Answer(Tcp::socket& socket, int revision) {
  BeginWatch(socket);
  Say(socket, List(revision));
}
void RefuseAlways(std::size_t, Tcp::socket& socket) { Refuse(socket); }

// Runs until the first call has failed.
void RunUntilFirstFailure(ByHand& side) {
  ASSERT_TRUE(side.RunUntil([&] { return !side.discovery->watching(); }));
}

TEST(DiscoveryRaces, APauseInTheTurnOfTheNextCallPreventsIt) {
  ScriptedDiscovery scripted(RefuseAlways);
  ByHand side(scripted.address());
  RunUntilFirstFailure(side);
  side.AsThePauseEnds([&] { side.discovery->Pause(); });
  EXPECT_FALSE(side.discovery->watching());
}

TEST(DiscoveryRaces, AMoveInTheTurnOfTheNextCallMakesOneCall) {
  ScriptedDiscovery before(RefuseAlways);
  ScriptedDiscovery after([](std::size_t, Tcp::socket& socket) { Answer(socket, 42); });
  ByHand side(before.address());
  RunUntilFirstFailure(side);
  side.AsThePauseEnds([&] { side.discovery->MoveTo(after.address()); });
  ASSERT_TRUE(side.RunUntilRevision(42));
  EXPECT_EQ(after.accepted(), 1);
  EXPECT_EQ(before.accepted(), 1);
}

TEST(DiscoveryRaces, AnEndInTheTurnOfTheNextCallPreventsIt) {
  ScriptedDiscovery scripted(RefuseAlways);
  ByHand side(scripted.address());
  RunUntilFirstFailure(side);
  side.AsThePauseEnds([&] { side.discovery.reset(); });
  EXPECT_EQ(scripted.targets().size(), 1u);
}

TEST(DiscoveryRaces, AMoveDuringAPauseIsFollowedAtOnceAndThePauseIsForgotten) {
  ScriptedDiscovery before(RefuseAlways);
  ScriptedDiscovery after([](std::size_t, Tcp::socket& socket) { Answer(socket, 42); });
  ByHand side(before.address());
  RunUntilFirstFailure(side);
  side.discovery->MoveTo(after.address());
  ASSERT_TRUE(side.RunUntilRevision(42));
  side.AsThePauseEnds([] {});
  EXPECT_EQ(after.accepted(), 1);
  EXPECT_EQ(before.accepted(), 1);
}

TEST(DiscoveryRaces, TheLaterOfTwoWatchesInOneTurnStays) {
  ScriptedDiscovery scripted(
      [](std::size_t call, Tcp::socket& socket) { Answer(socket, 42 + static_cast<int>(call)); });
  ByHand side(scripted.address());
  side.discovery->Watch();
  side.discovery->Watch();
  ASSERT_TRUE(side.RunUntil([&] { return !side.revisions.empty(); }));
  EXPECT_EQ(side.revisions.size(), 1u);
  EXPECT_EQ(scripted.targets().size(), 1u) << "only one call is written";
}

// A list that has come, but is not read yet.
class UnreadList : public ::testing::Test {
 protected:
  void SetUp() override {
    side = std::make_unique<ByHand>(before.address());
    ASSERT_TRUE(side->RunUntilRevision(42));
    go.Do([](bool& g) { g = true; });
    ASSERT_TRUE(sent.WaitFor([](bool s) { return s; }));
  }
  ~UnreadList() override {
    go.Do([](bool& g) { g = true; });
  }

  Watched<bool> go, sent;
  ScriptedDiscovery before{[this](std::size_t, Tcp::socket& socket) {
    Answer(socket, 42);
    go.WaitFor([](bool g) { return g; });
    Say(socket, List(90));
    ::shutdown(socket.native_handle(), SHUT_WR);
    sent.Do([](bool& s) { s = true; });
  }};
  ScriptedDiscovery after{[](std::size_t, Tcp::socket& socket) { Answer(socket, 43); }};
  std::unique_ptr<ByHand> side;
};

TEST_F(UnreadList, OfTheOldAddressIsNotAppliedAfterAMove) {
  side->discovery->MoveTo(after.address());
  ASSERT_TRUE(side->RunUntilRevision(43));
  EXPECT_EQ(side->revisions, (std::vector<std::uint64_t>{42, 43}));
  EXPECT_EQ(after.targets(), std::vector<std::string>{"/v1/endpoints?stream=1&index=42"});
  EXPECT_EQ(before.targets().size(), 1u);
}

TEST_F(UnreadList, IsNotAppliedAfterAPause) {
  side->discovery->Pause();
  side->AsThePauseEnds([] {});
  EXPECT_EQ(side->revisions, std::vector<std::uint64_t>{42});
  EXPECT_FALSE(side->discovery->watching());
}

TEST_F(UnreadList, IsAppliedWhereAMoveNamesTheSameAddress) {
  side->discovery->MoveTo(before.address());
  ASSERT_TRUE(side->RunUntilRevision(90));
  EXPECT_EQ(before.targets().size(), 1u) << "the watch goes on";
}

// What a paused one has not taken is asked for again.
TEST(DiscoveryRaces, AListThatPausesTheWatchIsAskedForAgain) {
  ScriptedDiscovery scripted(
      [](std::size_t call, Tcp::socket& socket) { Answer(socket, call == 0 ? 50 : 51); });
  ByHand side(scripted.address());
  side.on_list = [&] { side.discovery->Pause(); };
  ASSERT_TRUE(side.RunUntilRevision(50));
  side.on_list = [] {};
  side.discovery->Watch();
  ASSERT_TRUE(side.RunUntilRevision(51));
  EXPECT_EQ(scripted.targets().back(), "/v1/endpoints?stream=1&index=41");
}

TEST(DiscoveryRaces, OfTwoMovesInOneTurnTheLastCounts) {
  ScriptedDiscovery before([](std::size_t, Tcp::socket& socket) { Answer(socket, 42); });
  ScriptedDiscovery passed([](std::size_t, Tcp::socket& socket) { Answer(socket, 90); });
  ScriptedDiscovery after([](std::size_t, Tcp::socket& socket) { Answer(socket, 43); });
  ByHand side(before.address());
  ASSERT_TRUE(side.RunUntilRevision(42));
  side.discovery->MoveTo(passed.address());
  side.discovery->MoveTo(after.address());
  ASSERT_TRUE(side.RunUntilRevision(43));
  side.discovery->MoveTo(passed.address());
  side.discovery->MoveTo(after.address());
  ASSERT_TRUE(side.RunUntil([&] { return side.revisions.size() == 3; }));
  EXPECT_EQ(side.revisions, (std::vector<std::uint64_t>{42, 43, 43}));
  EXPECT_TRUE(passed.targets().empty());
}

TEST(DiscoveryRaces, AMoveWhilePausedOpensNothingAndCountsFromTheNextWatch) {
  ScriptedDiscovery before([](std::size_t, Tcp::socket& socket) { Answer(socket, 42); });
  ScriptedDiscovery after([](std::size_t, Tcp::socket& socket) { Answer(socket, 43); });
  ByHand side(before.address());
  ASSERT_TRUE(side.RunUntilRevision(42));
  side.discovery->Pause();
  side.discovery->MoveTo(after.address());
  EXPECT_FALSE(side.discovery->watching());
  side.discovery->Watch();
  ASSERT_TRUE(side.RunUntilRevision(43));
  EXPECT_EQ(before.accepted(), 1);
}

// The old address closes its watches some time after the move; nobody is there to notice.
TEST(DiscoveryRaces, TheCloseOfTheOldAddressChangesNothing) {
  Watched<bool> go, closed;
  ScriptedDiscovery before([&](std::size_t, Tcp::socket& socket) {
    Answer(socket, 42);
    go.WaitFor([](bool g) { return g; });
    Reset(socket);
    closed.Do([](bool& c) { c = true; });
  });
  Watched<bool> tell;
  ScriptedDiscovery after([&](std::size_t, Tcp::socket& socket) {
    Answer(socket, 43);
    tell.WaitFor([](bool t) { return t; });
    Say(socket, List(44));
  });
  ByHand side(before.address());
  ASSERT_TRUE(side.RunUntilRevision(42));
  side.discovery->MoveTo(after.address());
  ASSERT_TRUE(side.RunUntilRevision(43));
  go.Do([](bool& g) { g = true; });
  ASSERT_TRUE(closed.WaitFor([](bool c) { return c; }));
  tell.Do([](bool& t) { t = true; });
  ASSERT_TRUE(side.RunUntilRevision(44));
  EXPECT_EQ(after.accepted(), 1);
  EXPECT_EQ(before.accepted(), 1);
}

// ---- load on discovery --------------------------------------------------------------------------------
std::vector<std::chrono::steady_clock::time_point> TimesOfCalls(
    std::size_t calls, const std::function<void(std::size_t, Tcp::socket&)>& serve) {
  std::vector<std::chrono::steady_clock::time_point> at(calls);
  ScriptedDiscovery scripted([&](std::size_t call, Tcp::socket& socket) {
    if (call < calls) at[call] = std::chrono::steady_clock::now();
    serve(call, socket);
  });
  Follower follower(scripted.address(), std::chrono::minutes(1));
  EXPECT_TRUE(scripted.WaitForCalls(calls + 1));
  return at;
}

// Discovery turns calls away when it has too many callers: pauses double, up to between 0.5 s and 1 s.
TEST(DiscoveryLoad, AfterRefusalsCallsBecomeRare) {
  const auto at = TimesOfCalls(7, RefuseAlways);
  milliseconds least{25};
  for (std::size_t i = 1; i < at.size(); ++i, least = std::min(2 * least, milliseconds(500)))
    EXPECT_GE(at[i] - at[i - 1], least) << i;
}

// One that ends each watch after its list would be asked 30 times a second by each proxy.
TEST(DiscoveryLoad, AfterWatchesThatEndAtOnceCallsBecomeRarer) {
  const auto at = TimesOfCalls(8, [](std::size_t call, Tcp::socket& socket) {
    Answer(socket, 42 + static_cast<int>(call));
    ::shutdown(socket.native_handle(), SHUT_WR);
  });
  milliseconds least{25};
  for (std::size_t i = 1; i < at.size(); ++i, least = std::min(2 * least, milliseconds(125)))
    EXPECT_GE(at[i] - at[i - 1], least) << i;
}

// A watch that stood for a while was no failure: the next one is opened at once.
TEST(DiscoveryLoad, AfterAWatchThatStoodTheNextCallComesSoon) {
  std::chrono::steady_clock::time_point ended, again;
  ScriptedDiscovery scripted([&](std::size_t call, Tcp::socket& socket) {
    if (call < 5) return Refuse(socket);
    if (call > 5) again = std::chrono::steady_clock::now();
    Answer(socket, 42 + static_cast<int>(call));
    if (call > 5) return;
    std::this_thread::sleep_for(milliseconds(1200));
    ended = std::chrono::steady_clock::now();
    ::shutdown(socket.native_handle(), SHUT_WR);
  });
  Follower follower(scripted.address(), std::chrono::minutes(1));
  ASSERT_TRUE(follower.WaitForRevision(48));
  EXPECT_LT(again - ended, milliseconds(125));
}

}  // namespace
}  // namespace load_balancer::testing
