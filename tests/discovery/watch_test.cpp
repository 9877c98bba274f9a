// SPDX-License-Identifier: Apache-2.0
//
// A discovery that keeps its connections open and says nothing, or says it late, or on several lines.
#include <gtest/gtest.h>

#include "loopback.h"

namespace brackenspoke::testing {
namespace {

using std::chrono::milliseconds;

// Serves the nth call, from 0, as the test says; each connection then stays open and silent.
class ScriptedDiscovery {
 public:
  using Serve = std::function<void(std::size_t call, Tcp::socket&)>;
  explicit ScriptedDiscovery(Serve serve)
      : serve_(std::move(serve)), listener_([this](Tcp::socket& socket) { Call(socket); }) {}

  Tcp::endpoint address() const { return listener_.address; }
  std::vector<std::string> targets() { return targets_.Get(); }
  bool WaitForCalls(std::size_t n) {
    return targets_.WaitFor([n](const auto& targets) { return targets.size() >= n; });
  }

 private:
  void Call(Tcp::socket& socket) {
    boost::beast::flat_buffer buffer;
    HttpRequest request;
    error_code failed;
    http::read(socket, buffer, request, failed);
    if (failed) return;
    std::size_t call = 0;
    targets_.Do([&](auto& targets) {
      call = targets.size();
      targets.emplace_back(request.target());
    });
    serve_(call, socket);
    char byte;
    asio::read(socket, asio::buffer(&byte, 1), failed);  // until the caller gives it up
  }

  Serve serve_;
  Watched<std::vector<std::string>> targets_;
  Listener listener_;
};

void BeginWatch(Tcp::socket& socket) {
  SendRaw(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
}
void Say(Tcp::socket& socket, const std::string& text) {
  char size[24];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  SendRaw(socket, size + text + "\r\n");
}
std::string List(int revision) { return ListJson(revision, true, {}).dump() + "\n"; }

// Discovery followed by this program's code alone, on a thread of its own.
class Follower {
 public:
  Follower(const Tcp::endpoint& address, milliseconds silence) : io_(1) {
    proxy::Discovery::Options options;
    options.address = address;
    options.revision = 41;
    options.silence = silence;
    discovery_ = std::make_unique<proxy::Discovery>(
        io_, options,
        [this](const proxy::MemberList& list) { revision_.Do([&](std::uint64_t& r) { r = list.revision; }); },
        [] {});
    discovery_->Watch();
    thread_ = std::thread([this] { io_.run(); });
  }
  ~Follower() {
    io_.stop();
    thread_.join();
  }
  bool WaitForRevision(std::uint64_t revision) {
    return revision_.WaitFor([revision](std::uint64_t r) { return r == revision; });
  }

 private:
  asio::io_context io_;
  Watched<std::uint64_t> revision_;
  std::unique_ptr<proxy::Discovery> discovery_;
  std::thread thread_;
};

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
}  // namespace brackenspoke::testing
