// SPDX-License-Identifier: Apache-2.0
//
// Answers that cannot be read, or that end as no answer should: each is a failed attempt that may have run,
// and no connection is used again of which it is unclear where the next answer begins.
#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <vector>

#include "backend/backends_fixture.h"

namespace load_balancer::testing {
namespace {

constexpr Duration kLong{30000};

enum class Then { kStaysOpen, kEnds, kIsReset };

struct Case {
  const char* what;
  std::string bytes;
  Then then;
  Outcome outcome;
  std::size_t kept = 0;  // connections afterwards
};

void EndAs(Tcp::socket& peer, Then then) {
  if (then == Then::kStaysOpen) return;
  if (then == Then::kIsReset) peer.set_option(asio::socket_base::linger(true, 0));
  peer.close();
}

void Play(const Case& odd) {
  SCOPED_TRACE(odd.what);
  Bench bench;
  bench.Send(kLong);
  Tcp::socket peer = bench.Accept();
  bench.ReadRequest(peer);
  SendRaw(peer, odd.bytes);
  // What has been sent is taken before the end comes, which would else go before it.
  for (int i = 0; i < 100; ++i) bench.RunOnce();
  EndAs(peer, odd.then);
  bench.RunUntilResult();
  ASSERT_TRUE(bench.result.has_value());
  EXPECT_EQ(bench.result->outcome, odd.outcome);
  EXPECT_EQ(bench.backends.connections(), odd.kept);
}

TEST(OddAnswers, ThatBreakOffAreResets) {
  const std::vector<Case> cases = {
      {"nothing", "", Then::kEnds, Outcome::kReset},
      {"nothing, and a reset", "", Then::kIsReset, Outcome::kReset},
      {"half a status line", "HTTP/1.1 20", Then::kEnds, Outcome::kReset},
      {"half a status line, and a reset", "HTTP/1.1 20", Then::kIsReset, Outcome::kReset},
      {"half a head", "HTTP/1.1 200 OK\r\nContent-Len", Then::kEnds, Outcome::kReset},
      {"too little", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort", Then::kEnds, Outcome::kReset},
      {"half a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", Then::kEnds,
       Outcome::kReset},
      {"no last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", Then::kEnds,
       Outcome::kReset},
      {"no length, and a reset", "HTTP/1.1 200 OK\r\n\r\nhalf", Then::kIsReset, Outcome::kReset},
      {"no length, nothing, and a reset", "HTTP/1.1 200 OK\r\n\r\n", Then::kIsReset, Outcome::kReset},
      {"half of an error", "HTTP/1.1 500 Oh\r\nContent-Length: 10\r\n\r\nshort", Then::kIsReset,
       Outcome::kReset},
  };
  for (const Case& odd : cases) Play(odd);
}

TEST(OddAnswers, ThatCannotBeReadAreResetsAndEndTheConnection) {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::vector<Case> cases = {
      {"no HTTP", "SSH-2.0-server\r\n\r\n", Then::kStaysOpen, Outcome::kReset},
      {"another version", "HTTP/3.7 200 OK\r\nContent-Length: 0\r\n\r\n", Then::kStaysOpen, Outcome::kReset},
      {"a status of letters", "HTTP/1.1 abc OK\r\n\r\n", Then::kStaysOpen, Outcome::kReset},
      {"a length and chunks",
       ok + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nOK\r\n0\r\n\r\n", Then::kStaysOpen,
       Outcome::kReset},
      {"chunks and a length",
       ok + "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n2\r\nOK\r\n0\r\n\r\n", Then::kStaysOpen,
       Outcome::kReset},
      {"two lengths", ok + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nOK!", Then::kStaysOpen,
       Outcome::kReset},
      {"a length below zero", ok + "Content-Length: -2\r\n\r\nOK", Then::kStaysOpen, Outcome::kReset},
      {"a length of letters", ok + "Content-Length: two\r\n\r\nOK", Then::kStaysOpen, Outcome::kReset},
      {"a length beyond all", ok + "Content-Length: 99999999999999999999999\r\n\r\nOK", Then::kStaysOpen,
       Outcome::kReset},
      {"a chunk of size zz", ok + "Transfer-Encoding: chunked\r\n\r\nzz\r\nOK\r\n0\r\n\r\n", Then::kStaysOpen,
       Outcome::kReset},
      {"a chunk beyond all", ok + "Transfer-Encoding: chunked\r\n\r\nFFFFFFFFFFFFFFFFFF\r\nOK\r\n",
       Then::kStaysOpen, Outcome::kReset},
      {"a chunk longer than told", ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nOK!\r\n0\r\n\r\n",
       Then::kStaysOpen, Outcome::kReset},
      {"a head too large", ok + "X-Fill: " + std::string(40000, 'x') + "\r\n\r\n", Then::kStaysOpen,
       Outcome::kReset},
      {"too many headers",
       ok +
           [] {
             std::string many;
             for (int i = 0; i < 3000; ++i) many += "X-" + std::to_string(i) + ": y\r\n";
             return many;
           }() +
           "\r\n",
       Then::kStaysOpen, Outcome::kReset},
  };
  for (const Case& odd : cases) Play(odd);
}

TEST(OddAnswers, ThatAreWholeCount) {
  const std::vector<Case> cases = {
      {"no length, and an end", "HTTP/1.1 200 OK\r\n\r\nwhole", Then::kEnds, Outcome::kOk, 0},
      {"an older version", "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nOK", Then::kStaysOpen, Outcome::kOk,
       0},
      {"more than told", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nOK and more", Then::kStaysOpen,
       Outcome::kOk, 0},
      {"no content", "HTTP/1.1 204 None\r\n\r\n", Then::kStaysOpen, Outcome::kError, 1},
      {"not modified", "HTTP/1.1 304 Same\r\nContent-Length: 9\r\n\r\n", Then::kStaysOpen, Outcome::kError,
       1},
      {"another protocol", "HTTP/1.1 101 Switch\r\nUpgrade: other\r\n\r\n", Then::kStaysOpen, Outcome::kError,
       0},
      {"another status", "HTTP/1.1 299 Fine\r\nContent-Length: 2\r\n\r\nOK", Then::kStaysOpen,
       Outcome::kError, 1},
  };
  for (const Case& odd : cases) Play(odd);
}

// What comes does not end; the attempt does.
void PlayEndless(const std::string& first, const std::string& again) {
  Bench bench;
  bench.Send(Duration(200));
  Tcp::socket peer = bench.Accept();
  bench.ReadRequest(peer);
  SendRaw(peer, first);
  peer.non_blocking(true);
  const auto until = std::chrono::steady_clock::now() + kGiveUp;
  while (!bench.result && std::chrono::steady_clock::now() < until) {
    error_code full;
    peer.write_some(asio::buffer(again), full);
    bench.RunOnce();
  }
  ASSERT_TRUE(bench.result.has_value());
  EXPECT_NE(bench.result->outcome, Outcome::kOk);
  EXPECT_NE(bench.result->outcome, Outcome::kConnectFailed);
  EXPECT_EQ(bench.backends.connections(), 0u);
}

TEST(OddAnswers, ThatNeverEndAreEndedByTheTimeOut) {
  PlayEndless("", "HTTP/1.1 100 Continue\r\n\r\n");
  PlayEndless("HTTP/1.1 500 Oh\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n");
  PlayEndless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "");
  PlayEndless("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n12", "");
}

// Headers of which each is late, and the last never comes.
TEST(OddAnswers, WhoseHeadersDribbleAreEndedByTheTimeOut) {
  Bench bench;
  bench.Send(Duration(200));
  Tcp::socket peer = bench.Accept();
  bench.ReadRequest(peer);
  SendRaw(peer, "HTTP/1.1 200 OK\r\n");
  auto next = std::chrono::steady_clock::now();
  const auto until = next + kGiveUp;
  while (!bench.result && std::chrono::steady_clock::now() < until) {
    if (std::chrono::steady_clock::now() >= next) {
      SendRaw(peer, "X-More: y\r\n");
      next += std::chrono::milliseconds(10);
    }
    bench.RunOnce();
  }
  ASSERT_TRUE(bench.result.has_value());
  EXPECT_EQ(bench.result->outcome, Outcome::kTimeout);
}

// An answer that is passed on and does not tell its length: only an end that is no reset ends it.
void PlayPassedOn(Then then) {
  Bench bench;
  std::optional<proxy::AnswerHead> begun;
  std::optional<AttemptResult> result;
  bench.backends.Send(kServer, Out(HttpRequest{http::verb::get, "/look", 11}), kLong,
                      {[&](proxy::AnswerHead head) { begun = std::move(head); },
                       [&](AttemptResult ended) { result = std::move(ended); }});
  Tcp::socket peer = bench.Accept();
  bench.ReadRequest(peer);
  SendRaw(peer, "HTTP/1.1 200 OK\r\n\r\nsome");
  const auto until = std::chrono::steady_clock::now() + kGiveUp;
  while (!begun && std::chrono::steady_clock::now() < until) bench.RunOnce();
  ASSERT_TRUE(begun.has_value());
  std::optional<proxy::Piece> piece;
  const auto ask = [&] { begun->body->Next([&](proxy::Piece given) { piece = std::move(given); }); };
  ask();
  ASSERT_TRUE(piece.has_value());
  EXPECT_EQ(piece->bytes, "some");
  piece.reset();
  ask();
  EndAs(peer, then);
  while (!result && std::chrono::steady_clock::now() < until) bench.RunOnce();
  ASSERT_TRUE(result.has_value() && piece.has_value());
  EXPECT_EQ(result->outcome, then == Then::kEnds ? Outcome::kOk : Outcome::kReset);
  EXPECT_EQ(piece->failed, then != Then::kEnds);
  EXPECT_EQ(piece->last, then == Then::kEnds);
}

TEST(OddAnswers, PassedOnWithoutALengthAreWholeByAnEndAndBrokenByAReset) {
  PlayPassedOn(Then::kEnds);
  PlayPassedOn(Then::kIsReset);
}

}  // namespace
}  // namespace load_balancer::testing
