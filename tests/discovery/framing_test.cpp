// SPDX-License-Identifier: Apache-2.0
//
// A watch in all the forms of HTTP, in pieces, and cut off with lists in hand.
#include <gtest/gtest.h>

#include <boost/asio/steady_timer.hpp>

#include "scripted_discovery.h"

namespace load_balancer::testing {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLong{60000};

std::string IndentedWithCarriageReturns(int revision) {
  std::string text = ListJson(revision, true, Members(MemberJson("s-\"1\\", kAnyPort))).dump(1, '\t') + "\n";
  for (std::size_t end = 0; (end = text.find('\n', end)) != std::string::npos; end += 2)
    text.replace(end, 1, "\r\n");
  return text;
}

TEST(DiscoveryFraming, AnIndentedListIsTheSameWhereverItsChunksAreCut) {
  const auto pieces = static_cast<int>(IndentedWithCarriageReturns(100).size());
  ScriptedDiscovery scripted([&](std::size_t, Tcp::socket& socket) {
    BeginWatch(socket);
    for (int cut = 1; cut < pieces; ++cut) {
      const std::string text = IndentedWithCarriageReturns(100 + cut);
      Say(socket, text.substr(0, cut));
      Say(socket, text.substr(cut));
    }
  });
  Follower follower(scripted.address(), kLong);
  EXPECT_TRUE(follower.WaitForRevision(100 + pieces - 1));
  EXPECT_EQ(scripted.targets().size(), 1u);
  std::vector<std::uint64_t> all;
  for (int cut = 1; cut < pieces; ++cut) all.push_back(100 + cut);
  EXPECT_EQ(follower.revisions(), all);
}

struct Form {
  const char* name;
  std::string bytes;
  bool ends;  // the answer has an end of its own, or the connection's
};

std::vector<Form> Forms() {
  const std::string lists = List(42) + "\n" + ListJson(43, false, {}).dump(2) + "\n";
  const std::string half = lists.substr(0, 20), rest = lists.substr(20);
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  return {
      {"chunked", chunked + ChunkOf(half) + ChunkOf(rest), false},
      {"chunk extensions", chunked + ChunkOf(half, ";a=1;b=\"x;y\"") + ChunkOf(rest, " ; c"), false},
      {"trailers", chunked + ChunkOf(lists) + "0\r\nX-Sum: 1\r\nx-more: 2\r\n\r\n", true},
      {"header names in other case",
       "HTTP/1.1 200 OK\r\ntransfer-ENCODING:\tChunked\r\nCONNECTION: keep-alive\r\n\r\n" + ChunkOf(lists),
       false},
      {"no reason phrase", "HTTP/1.1 200 \r\nTransfer-Encoding: chunked\r\n\r\n" + ChunkOf(lists), false},
      {"a content length",
       "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(lists.size()) + "\r\n\r\n" + lists, true},
      {"a content length longer than what comes", "HTTP/1.1 200 OK\r\ncontent-length: 99999\r\n\r\n" + lists,
       false},
      {"up to the close", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + lists, true},
      {"HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\n" + lists, true},
      {"interim answers",
       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + chunked +
           ChunkOf(lists),
       false},
  };
}

// Each form at once, and each byte on its own.
TEST(DiscoveryFraming, EachFormOfAWatchIsFollowed) {
  for (const Form& form : Forms()) {
    for (const bool whole : {true, false}) {
      SCOPED_TRACE(::testing::Message() << form.name << (whole ? "" : ", byte by byte"));
      ScriptedDiscovery scripted([&](std::size_t call, Tcp::socket& socket) {
        if (call > 0) return;
        if (whole) SendRaw(socket, form.bytes);
        for (std::size_t i = 0; !whole && i < form.bytes.size(); ++i)
          SendRaw(socket, form.bytes.substr(i, 1));
        if (form.ends) ::shutdown(socket.native_handle(), SHUT_WR);
      });
      Follower follower(scripted.address(), kLong);
      EXPECT_TRUE(follower.WaitForRevision(43));
      EXPECT_EQ(follower.revisions(), (std::vector<std::uint64_t>{42, 43}));
      if (form.ends) {
        EXPECT_TRUE(scripted.WaitForCalls(2));
        EXPECT_EQ(scripted.targets().back(), "/v1/endpoints?stream=1&index=43");
      } else {
        EXPECT_EQ(scripted.targets().size(), 1u);
      }
    }
  }
}

TEST(DiscoveryFraming, InterimAnswersWithoutEndAreGivenUp) {
  ScriptedDiscovery scripted([](std::size_t call, Tcp::socket& socket) {
    error_code failed;
    while (call == 0 && !failed) {
      asio::write(socket, asio::buffer(std::string("HTTP/1.1 102 Processing\r\n\r\n")), failed);
      std::this_thread::sleep_for(milliseconds(10));
    }
    BeginWatch(socket);
    Say(socket, List(42));
  });
  Follower follower(scripted.address(), milliseconds(500));
  EXPECT_TRUE(follower.WaitForRevision(42));
}

TEST(DiscoveryFraming, AnotherProtocolIsNoWatch) {
  ScriptedDiscovery scripted([](std::size_t call, Tcp::socket& socket) {
    if (call == 0)
      return SendRaw(socket, "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n");
    BeginWatch(socket);
    Say(socket, List(42));
  });
  Follower follower(scripted.address(), kLong);
  EXPECT_TRUE(follower.WaitForRevision(42));
}

// What is in hand when a watch breaks is applied: all of it is read at once, with the end.
TEST(DiscoveryFraming, WhatCameWholeBeforeTheEndIsApplied) {
  const std::string good = ChunkOf(List(42) + ListJson(43, false, {}).dump() + "\n");
  struct Cut {
    const char* name;
    std::string bytes;
    void (*end)(Tcp::socket&);
  };
  const auto shut = [](Tcp::socket& socket) { ::shutdown(socket.native_handle(), SHUT_WR); };
  const auto leave = [](Tcp::socket&) {};
  const Cut cuts[] = {{"the connection's end", good, shut},
                      {"a reset", good, Reset},
                      {"the end in an object", good + ChunkOf("{\"revision\":44,"), shut},
                      {"a reset in an object", good + ChunkOf("{\"revision\":44,"), Reset},
                      {"a broken chunk", good + "zz\r\n", leave},
                      {"a broken object", good + ChunkOf("}\n"), leave},
                      {"the last chunk", good + "0\r\n\r\n", leave}};
  for (const Cut& cut : cuts) {
    SCOPED_TRACE(cut.name);
    Watched<bool> begun, go, sent;
    ScriptedDiscovery scripted([&](std::size_t call, Tcp::socket& socket) {
      if (call > 0) return;
      BeginWatch(socket);
      begun.Do([](bool& b) { b = true; });
      go.WaitFor([](bool g) { return g; });
      SendRaw(socket, cut.bytes);
      cut.end(socket);
      sent.Do([](bool& s) { s = true; });
    });
    Follower follower(scripted.address(), kLong);
    EXPECT_TRUE(begun.WaitFor([](bool b) { return b; }));
    follower.Do([&](proxy::Discovery&) {  // reads nothing while all of it comes
      go.Do([](bool& g) { g = true; });
      sent.WaitFor([](bool s) { return s; });
    });
    EXPECT_TRUE(scripted.WaitForCalls(2));
    EXPECT_EQ(follower.revisions(), (std::vector<std::uint64_t>{42, 43}));
    EXPECT_EQ(scripted.targets().back(), "/v1/endpoints?stream=1&index=43");
  }
}

// A watch that ends instead of telling: the next one tells.
TEST(DiscoveryFraming, AChangeThatAResetKeptBackComesWithTheNextWatch) {
  ScriptedDiscovery scripted([](std::size_t call, Tcp::socket& socket) {
    BeginWatch(socket);
    if (call == 0) {
      Say(socket, List(42));
      return Reset(socket);
    }
    Say(socket, ListJson(43, false, Members(MemberJson("s-1", kAnyPort, "terminating"))).dump() + "\n");
  });
  Follower follower(scripted.address(), kLong);
  EXPECT_TRUE(follower.WaitForRevision(43));
  EXPECT_EQ(scripted.targets()[1], "/v1/endpoints?stream=1&index=42");
}

}  // namespace
}  // namespace load_balancer::testing
