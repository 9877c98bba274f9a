// SPDX-License-Identifier: Apache-2.0
//
// How soon a change is in force that discovery had while a call failed, was refused or given up, or a watch
// had fallen silent: with the times that the program is built with, and a discovery that takes its 2 s to
// answer.
#include <gtest/gtest.h>

#include "scripted_discovery.h"

namespace load_balancer::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kTold{6000}, kSlowAnswer{2000}, kHeartbeat{2000};
constexpr std::size_t kFailures = 6;  // the longest pause follows

// When the change was there and discovery within reach, or the watch fell silent.
class Since {
 public:
  void Mark() {
    at_.Do([](steady_clock::time_point& at) { at = steady_clock::now(); });
  }
  milliseconds Past() { return std::chrono::duration_cast<milliseconds>(steady_clock::now() - at_.Get()); }

 private:
  Watched<steady_clock::time_point> at_;
};

void AnswerSlowly(Tcp::socket& socket) {
  std::this_thread::sleep_for(kSlowAnswer);
  BeginWatch(socket);
  Say(socket, List(43));
}

// Until the other side has closed; each byte alone.
void Trickle(Tcp::socket& socket, const std::string& bytes) {
  for (std::size_t i = 0;; ++i) {
    error_code failed;
    asio::write(socket, asio::buffer(ChunkOf(std::string(1, i < bytes.size() ? bytes[i] : ' '))), failed);
    if (failed) return;
    std::this_thread::sleep_for(milliseconds(50));
  }
}

void ExpectInForceInTime(ScriptedDiscovery::Serve serve, Since& since) {
  ScriptedDiscovery scripted(std::move(serve));
  Follower follower(Follower::OptionsOf(scripted.address()));
  ASSERT_TRUE(follower.WaitForRevision(43));
  EXPECT_LE(since.Past(), kTold);
}

TEST(DiscoveryTold, AfterAWatchHasFallenSilent) {
  Since since;
  ExpectInForceInTime(
      [&](std::size_t call, Tcp::socket& socket) {
        if (call > 0) return AnswerSlowly(socket);
        BeginWatch(socket);
        Say(socket, List(42));
        std::this_thread::sleep_for(kHeartbeat);
        Say(socket, "\n");
        since.Mark();
      },
      since);
}

TEST(DiscoveryTold, AfterACallThatIsNeverAnsweredAndManyThatWereRefused) {
  Since since;
  ExpectInForceInTime(
      [&](std::size_t call, Tcp::socket& socket) {
        if (call < kFailures) return Refuse(socket);
        if (call == kFailures) return since.Mark();
        AnswerSlowly(socket);
      },
      since);
}

TEST(DiscoveryTold, AfterACallThatWaitsInVainAndManyThatWereRefused) {
  Since since;
  ExpectInForceInTime(
      [&](std::size_t call, Tcp::socket& socket) {
        if (call == kFailures) since.Mark();
        if (call == kFailures) std::this_thread::sleep_for(kSlowAnswer);
        if (call <= kFailures) return Refuse(socket);
        AnswerSlowly(socket);
      },
      since);
}

TEST(DiscoveryTold, WhereAListComesByteByByteAndNeverEnds) {
  Since since;
  ExpectInForceInTime(
      [&](std::size_t call, Tcp::socket& socket) {
        if (call > 0) return AnswerSlowly(socket);
        BeginWatch(socket);
        since.Mark();
        Trickle(socket, "{\"revision\":43,");
      },
      since);
}

TEST(DiscoveryTold, WhereAChangeComesByteByByteAndNeverEnds) {
  Since since;
  ExpectInForceInTime(
      [&](std::size_t call, Tcp::socket& socket) {
        if (call > 0) return AnswerSlowly(socket);
        BeginWatch(socket);
        Say(socket, List(42) + "\n");
        since.Mark();
        Trickle(socket, "{\"revision\":43,\"complete\":false,\"members\":[");
      },
      since);
}

TEST(DiscoveryTold, WhereAHeaderComesByteByByteAndNeverEnds) {
  Since since;
  ExpectInForceInTime(
      [&](std::size_t call, Tcp::socket& socket) {
        if (call > 0) return AnswerSlowly(socket);
        since.Mark();
        SendRaw(socket, "HTTP/1.1 200 OK\r\nX: ");
        for (error_code failed; !failed; std::this_thread::sleep_for(milliseconds(50)))
          asio::write(socket, asio::buffer("y", 1), failed);
      },
      since);
}

TEST(DiscoveryTold, WhereAHeartbeatComesInTheMiddleOfASlowList) {
  Since since;
  ExpectInForceInTime(
      [&](std::size_t call, Tcp::socket& socket) {
        if (call > 0) return AnswerSlowly(socket);
        BeginWatch(socket);
        since.Mark();
        Say(socket, "{\n  \"revision\": 43,\n");
        std::this_thread::sleep_for(kHeartbeat);
        Say(socket, "\n");
      },
      since);
}

// A list is not given up while its parts come as fast as a slow answer may.
TEST(DiscoveryTold, AListThatComesInPiecesWithinTheTimeOfAnAnswerIsTaken) {
  ScriptedDiscovery scripted([](std::size_t, Tcp::socket& socket) {
    BeginWatch(socket);
    const std::string text = ListJson(43, true, Members(MemberJson("s-1", kAnyPort))).dump(2) + "\n";
    const std::size_t pieces = 20;
    for (std::size_t i = 0; i < pieces; ++i) {
      std::this_thread::sleep_for(kSlowAnswer / pieces);
      Say(socket,
          text.substr(i * text.size() / pieces, (i + 1) * text.size() / pieces - i * text.size() / pieces));
    }
  });
  Follower follower(Follower::OptionsOf(scripted.address()));
  ASSERT_TRUE(follower.WaitForRevision(43));
  EXPECT_EQ(scripted.targets().size(), 1u);
}

// Its queue is full, so that no connection comes up until it begins to accept.
class UnreachableDiscovery {
 public:
  UnreachableDiscovery() : acceptor_(io_) {
    acceptor_.open(Tcp::v4());
    acceptor_.bind(kAnyPort);
    acceptor_.listen(0);
    for (auto& filler : fillers_) {
      filler.open(Tcp::v4());
      filler.non_blocking(true);
      // Not Asio's connect: it waits for the connection without a bound, also on a socket that does not
      // block.
      const Tcp::endpoint at = address();
      ::connect(filler.native_handle(), at.data(), at.size());
    }
  }
  Tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  void Stop() { ::shutdown(acceptor_.native_handle(), SHUT_RDWR); }
  // Answers the first call that comes, after the time of a slow answer.
  void AnswerOne() {
    for (;;) {
      Tcp::socket socket(io_);
      error_code failed;
      acceptor_.accept(socket, failed);
      if (failed) return;
      boost::beast::flat_buffer buffer;
      HttpRequest request;
      // The fillers say nothing, and go.
      for (auto& filler : fillers_) filler.close(failed);
      http::read(socket, buffer, request, failed);
      if (failed) continue;
      AnswerSlowly(socket);
      char byte;
      asio::read(socket, asio::buffer(&byte, 1), failed);
      return;
    }
  }

 private:
  asio::io_context io_;
  Tcp::acceptor acceptor_;
  std::vector<Tcp::socket> fillers_ = [this] {
    std::vector<Tcp::socket> fillers;
    for (int i = 0; i < 3; ++i) fillers.emplace_back(io_);
    return fillers;
  }();
};

TEST(DiscoveryTold, AfterAConnectionThatNeverCameUp) {
  UnreachableDiscovery discovery;
  std::thread serves;
  Since since;
  {
    Follower follower(Follower::OptionsOf(discovery.address()));
    std::this_thread::sleep_for(milliseconds(500));  // its connection is under way and hangs
    since.Mark();
    serves = std::thread([&] { discovery.AnswerOne(); });
    EXPECT_TRUE(follower.WaitForRevision(43));
    EXPECT_LE(since.Past(), kTold);
  }
  discovery.Stop();
  serves.join();
}

}  // namespace
}  // namespace load_balancer::testing
