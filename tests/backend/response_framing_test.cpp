// SPDX-License-Identifier: Apache-2.0
//
// Responses that cannot be parsed or that end early. Each must count as a failed attempt whose request may
// have run. A connection must not be reused if the start of the next response on it is unclear.
#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <vector>

#include "backend/backends_fixture.h"

namespace load_balancer::testing {
namespace {

constexpr Duration kLongTimeout{30000};

enum class Ending { kStaysOpen, kCloses, kResets };

struct ResponseCase {
  const char* description;
  std::string bytes;
  Ending ending;
  Outcome outcome;
  std::size_t open_connections = 0;  // expected number of connections afterwards
};

void EndConnection(Tcp::socket& peer, Ending ending) {
  if (ending == Ending::kStaysOpen) return;
  if (ending == Ending::kResets) peer.set_option(asio::socket_base::linger(true, 0));
  peer.close();
}

// Sends the response of a case, ends the connection as the case says, and checks the outcome.
void CheckResponse(const ResponseCase& response) {
  SCOPED_TRACE(response.description);
  BackendsFixture fixture;
  fixture.Send(kLongTimeout);
  Tcp::socket peer = fixture.Accept();
  fixture.ReadRequest(peer);
  SendRaw(peer, response.bytes);
  // The bytes are received first, because a reset would discard them.
  for (int i = 0; i < 100; ++i) fixture.RunOnce();
  EndConnection(peer, response.ending);
  fixture.RunUntilResult();
  ASSERT_TRUE(fixture.result.has_value());
  EXPECT_EQ(fixture.result->outcome, response.outcome);
  EXPECT_EQ(fixture.backends.connections(), response.open_connections);
}

TEST(ResponseFraming, IncompleteResponsesCountAsResets) {
  const std::vector<ResponseCase> cases = {
      {"no byte", "", Ending::kCloses, Outcome::kReset},
      {"no byte, then a reset", "", Ending::kResets, Outcome::kReset},
      {"a partial status line", "HTTP/1.1 20", Ending::kCloses, Outcome::kReset},
      {"a partial status line, then a reset", "HTTP/1.1 20", Ending::kResets, Outcome::kReset},
      {"a partial head", "HTTP/1.1 200 OK\r\nContent-Len", Ending::kCloses, Outcome::kReset},
      {"a body shorter than its length", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
       Ending::kCloses, Outcome::kReset},
      {"a partial chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", Ending::kCloses,
       Outcome::kReset},
      {"no last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", Ending::kCloses,
       Outcome::kReset},
      {"no length, then a reset", "HTTP/1.1 200 OK\r\n\r\nhalf", Ending::kResets, Outcome::kReset},
      {"no length and no body, then a reset", "HTTP/1.1 200 OK\r\n\r\n", Ending::kResets, Outcome::kReset},
      {"a partial error response", "HTTP/1.1 500 Oh\r\nContent-Length: 10\r\n\r\nshort", Ending::kResets,
       Outcome::kReset},
  };
  for (const ResponseCase& response : cases) CheckResponse(response);
}

TEST(ResponseFraming, UnparsableResponsesCountAsResetsAndCloseTheConnection) {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::vector<ResponseCase> cases = {
      {"not HTTP", "SSH-2.0-server\r\n\r\n", Ending::kStaysOpen, Outcome::kReset},
      {"an unknown version", "HTTP/3.7 200 OK\r\nContent-Length: 0\r\n\r\n", Ending::kStaysOpen,
       Outcome::kReset},
      {"a non-numeric status", "HTTP/1.1 abc OK\r\n\r\n", Ending::kStaysOpen, Outcome::kReset},
      {"a length and chunks",
       ok + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nOK\r\n0\r\n\r\n", Ending::kStaysOpen,
       Outcome::kReset},
      {"chunks and a length",
       ok + "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n2\r\nOK\r\n0\r\n\r\n", Ending::kStaysOpen,
       Outcome::kReset},
      {"two lengths", ok + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nOK!", Ending::kStaysOpen,
       Outcome::kReset},
      {"a negative length", ok + "Content-Length: -2\r\n\r\nOK", Ending::kStaysOpen, Outcome::kReset},
      {"a non-numeric length", ok + "Content-Length: two\r\n\r\nOK", Ending::kStaysOpen, Outcome::kReset},
      {"an overflowing length", ok + "Content-Length: 99999999999999999999999\r\n\r\nOK", Ending::kStaysOpen,
       Outcome::kReset},
      {"a chunk of size zz", ok + "Transfer-Encoding: chunked\r\n\r\nzz\r\nOK\r\n0\r\n\r\n",
       Ending::kStaysOpen, Outcome::kReset},
      {"an overflowing chunk size", ok + "Transfer-Encoding: chunked\r\n\r\nFFFFFFFFFFFFFFFFFF\r\nOK\r\n",
       Ending::kStaysOpen, Outcome::kReset},
      {"a chunk longer than its size", ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nOK!\r\n0\r\n\r\n",
       Ending::kStaysOpen, Outcome::kReset},
      {"an oversized head", ok + "X-Fill: " + std::string(40000, 'x') + "\r\n\r\n", Ending::kStaysOpen,
       Outcome::kReset},
      {"too many headers",
       ok +
           [] {
             std::string headers;
             for (int i = 0; i < 3000; ++i) headers += "X-" + std::to_string(i) + ": y\r\n";
             return headers;
           }() +
           "\r\n",
       Ending::kStaysOpen, Outcome::kReset},
  };
  for (const ResponseCase& response : cases) CheckResponse(response);
}

TEST(ResponseFraming, CompleteResponsesHaveTheOutcomeOfTheirStatus) {
  const std::vector<ResponseCase> cases = {
      {"no length, then a close", "HTTP/1.1 200 OK\r\n\r\nwhole", Ending::kCloses, Outcome::kOk, 0},
      {"an older version", "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nOK", Ending::kStaysOpen, Outcome::kOk,
       0},
      {"more bytes than the length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nOK and more",
       Ending::kStaysOpen, Outcome::kOk, 0},
      {"204 without content", "HTTP/1.1 204 None\r\n\r\n", Ending::kStaysOpen, Outcome::kError, 1},
      {"304", "HTTP/1.1 304 Same\r\nContent-Length: 9\r\n\r\n", Ending::kStaysOpen, Outcome::kError, 1},
      {"a protocol switch", "HTTP/1.1 101 Switch\r\nUpgrade: other\r\n\r\n", Ending::kStaysOpen,
       Outcome::kError, 0},
      {"an unusual 2xx status", "HTTP/1.1 299 Fine\r\nContent-Length: 2\r\n\r\nOK", Ending::kStaysOpen,
       Outcome::kError, 1},
  };
  for (const ResponseCase& response : cases) CheckResponse(response);
}

// Sends `beginning` and then `repeated` without an end, and checks that the attempt ends.
void CheckEndlessResponse(const std::string& beginning, const std::string& repeated) {
  BackendsFixture fixture;
  fixture.Send(Duration(200));
  Tcp::socket peer = fixture.Accept();
  fixture.ReadRequest(peer);
  SendRaw(peer, beginning);
  peer.non_blocking(true);
  const auto until = std::chrono::steady_clock::now() + kGiveUp;
  while (!fixture.result && std::chrono::steady_clock::now() < until) {
    error_code ignored;
    peer.write_some(asio::buffer(repeated), ignored);
    fixture.RunOnce();
  }
  ASSERT_TRUE(fixture.result.has_value());
  EXPECT_NE(fixture.result->outcome, Outcome::kOk);
  EXPECT_NE(fixture.result->outcome, Outcome::kConnectFailed);
  EXPECT_EQ(fixture.backends.connections(), 0u);
}

TEST(ResponseFraming, EndlessResponsesAreEndedByTheTimeout) {
  CheckEndlessResponse("", "HTTP/1.1 100 Continue\r\n\r\n");
  CheckEndlessResponse("HTTP/1.1 500 Oh\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n");
  CheckEndlessResponse("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "");
  CheckEndlessResponse("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n12", "");
}

// The server sends one header every 10 ms and never ends the head.
TEST(ResponseFraming, AHeadSentSlowlyWithoutAnEndIsEndedByTheTimeout) {
  BackendsFixture fixture;
  fixture.Send(Duration(200));
  Tcp::socket peer = fixture.Accept();
  fixture.ReadRequest(peer);
  SendRaw(peer, "HTTP/1.1 200 OK\r\n");
  auto next = std::chrono::steady_clock::now();
  const auto until = next + kGiveUp;
  while (!fixture.result && std::chrono::steady_clock::now() < until) {
    if (std::chrono::steady_clock::now() >= next) {
      SendRaw(peer, "X-More: y\r\n");
      next += std::chrono::milliseconds(10);
    }
    fixture.RunOnce();
  }
  ASSERT_TRUE(fixture.result.has_value());
  EXPECT_EQ(fixture.result->outcome, Outcome::kTimeout);
}

// Streams a response of unknown length. A clean close of the connection completes it, and a reset does not.
void CheckStreamedResponse(Ending ending) {
  BackendsFixture fixture;
  std::optional<proxy::ResponseHead> streamed_head;
  std::optional<AttemptResult> result;
  fixture.backends.Send(kServer, MakeOutgoing(HttpRequest{http::verb::get, "/look", 11}), kLongTimeout,
                        {[&](proxy::ResponseHead head) { streamed_head = std::move(head); },
                         [&](AttemptResult ended) { result = std::move(ended); }});
  Tcp::socket peer = fixture.Accept();
  fixture.ReadRequest(peer);
  SendRaw(peer, "HTTP/1.1 200 OK\r\n\r\nsome");
  const auto until = std::chrono::steady_clock::now() + kGiveUp;
  while (!streamed_head && std::chrono::steady_clock::now() < until) fixture.RunOnce();
  ASSERT_TRUE(streamed_head.has_value());
  std::optional<proxy::Piece> piece;
  const auto request_piece = [&] {
    streamed_head->body->Next([&](proxy::Piece given) { piece = std::move(given); });
  };
  request_piece();
  ASSERT_TRUE(piece.has_value());
  EXPECT_EQ(piece->bytes, "some");
  piece.reset();
  request_piece();
  EndConnection(peer, ending);
  while (!result && std::chrono::steady_clock::now() < until) fixture.RunOnce();
  ASSERT_TRUE(result.has_value() && piece.has_value());
  EXPECT_EQ(result->outcome, ending == Ending::kCloses ? Outcome::kOk : Outcome::kReset);
  EXPECT_EQ(piece->failed, ending != Ending::kCloses);
  EXPECT_EQ(piece->last, ending == Ending::kCloses);
}

TEST(ResponseFraming, AStreamedResponseOfUnknownLengthIsCompletedByACloseAndBrokenByAReset) {
  CheckStreamedResponse(Ending::kCloses);
  CheckStreamedResponse(Ending::kResets);
}

}  // namespace
}  // namespace load_balancer::testing
