// SPDX-License-Identifier: Apache-2.0
//
// A discovery that keeps its connections open and says nothing, or says it late, or on several lines.
#include <gtest/gtest.h>

#include "scripted_discovery.h"

namespace load_balancer::testing {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kShort{100}, kLong{60000};

TEST(DiscoveryWatch, ASilentOneIsOpenedAnewThoughTheNewCallIsAnsweredSlowly) {
  ScriptedDiscovery scripted([](std::size_t call, Tcp::socket& socket) {
    if (call > 0) std::this_thread::sleep_for(5 * kShort);
    BeginWatch(socket);
    Say(socket, List(call > 0 ? 43 : 42));
  });
  Follower follower(scripted.address(), 15 * kShort);
  EXPECT_TRUE(follower.WaitForRevision(43));
  const auto targets = scripted.targets();
  ASSERT_EQ(targets.size(), 2u) << "the slow call is not given up";
  EXPECT_EQ(targets[1], "/v1/endpoints?stream=1&index=42");
}

TEST(DiscoveryWatch, HeartbeatsKeepItOpen) {
  ScriptedDiscovery scripted([](std::size_t, Tcp::socket& socket) {
    BeginWatch(socket);
    Say(socket, List(42));
    for (int i = 0; i < 30; ++i) {
      std::this_thread::sleep_for(kShort);
      Say(socket, "\n");
    }
    Say(socket, List(43));
  });
  Follower follower(scripted.address(), 20 * kShort);
  EXPECT_TRUE(follower.WaitForRevision(43));
  EXPECT_EQ(scripted.targets().size(), 1u);
}

TEST(DiscoveryWatch, ACallThatIsNeverAnsweredIsMadeAgain) {
  ScriptedDiscovery scripted([](std::size_t call, Tcp::socket& socket) {
    if (call > 0) BeginWatch(socket);
    if (call > 1) Say(socket, List(42));
  });
  Follower follower(scripted.address(), 3 * kShort);
  EXPECT_TRUE(follower.WaitForRevision(42));
}

// What a silent watch misses counts as told 6 s after it fell silent.
TEST(DiscoveryWatch, ItsTimeLeavesRoomForASlowAnswer) {
  constexpr milliseconds kTold{6000}, kAnswerOwed{2000}, kHeartbeat{2000}, kMostPause{500};
  const milliseconds silence = proxy::Discovery::Options().silence;
  EXPECT_GE(silence, std::max(kHeartbeat, kAnswerOwed) + milliseconds(1000));
  EXPECT_LE(silence + kMostPause + kAnswerOwed, kTold);
}

// What the agent gets at its return counts as told at once; a drain has 2 s of grace from then on.
TEST(DiscoveryWatch, IsTriedAgainWithinTheGraceHoweverLongAnOutageLasts) {
  constexpr std::size_t kFailures = 8;
  std::vector<std::chrono::steady_clock::time_point> at(kFailures + 1);
  ScriptedDiscovery scripted([&](std::size_t call, Tcp::socket& socket) {
    at.at(call) = std::chrono::steady_clock::now();
    if (call < kFailures) return SendRaw(socket, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    BeginWatch(socket);
    Say(socket, List(42));
  });
  Follower follower(scripted.address(), kLong);
  ASSERT_TRUE(follower.WaitForRevision(42));
  for (std::size_t i = 1; i <= kFailures; ++i) EXPECT_LT(at[i] - at[i - 1], milliseconds(2000)) << i;
}

TEST(DiscoveryWatch, AListOverSeveralLinesIsTaken) {
  ScriptedDiscovery scripted([](std::size_t, Tcp::socket& socket) {
    BeginWatch(socket);
    const std::string text = ListJson(42, true, Members(MemberJson("s-1", kAnyPort))).dump(2) + "\n\n";
    for (std::size_t at = 0; at < text.size(); at += 7) Say(socket, text.substr(at, 7));
    Say(socket, ListJson(43, false, {}).dump(2) + "\n");
  });
  Follower follower(scripted.address(), kLong);
  EXPECT_TRUE(follower.WaitForRevision(43));
  EXPECT_EQ(scripted.targets().size(), 1u);
}

}  // namespace
}  // namespace load_balancer::testing
