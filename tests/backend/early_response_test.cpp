// SPDX-License-Identifier: Apache-2.0
//
// What a backend says while a request's body is still being passed on to it.
#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "backend/backends_fixture.h"

namespace load_balancer::testing {
namespace {

constexpr Duration kLong{30000};

// A body whose pieces come as the test says.
class PieceByPiece : public proxy::BodySource {
 public:
  void Next(OnPiece on_piece) override { asked_ = std::move(on_piece); }
  void Abandon() override { asked_ = nullptr; }
  bool Spent() const override { return true; }

  bool Asked() const { return static_cast<bool>(asked_); }
  void Give(const std::string& bytes, bool last, Duration patience = kLong) {
    proxy::Piece piece;
    piece.bytes = bytes;
    piece.last = last;
    piece.due = proxy::Steady::now() + std::chrono::ceil<proxy::Steady::duration>(patience);
    std::exchange(asked_, nullptr)(std::move(piece));
  }

 private:
  OnPiece asked_;
};

// A request of two pieces of four bytes, the first of which the backend has.
struct Uploading {
  explicit Uploading() {
    HttpRequest request{http::verb::post, "/book", 11};
    request.content_length(8);
    proxy::Outgoing out = Out(std::move(request));
    out.body = body;
    bench.backends.Send(kServer, std::move(out), kLong, Into(&bench.result));
    peer = bench.Accept();
    while (!body->Asked()) bench.RunOnce();
    body->Give("text", false);
    while (got.find("text") == std::string::npos) Receive();
  }
  void Receive() {
    bench.RunOnce();
    if (peer.available() == 0) return;
    char bytes[1000];
    got.append(bytes, peer.read_some(asio::buffer(bytes)));
  }
  // The event loop has taken all that the backend has sent.
  void RunUntilTaken() {
    for (int i = 0; i < 100; ++i) bench.RunOnce();
  }

  std::shared_ptr<PieceByPiece> body = std::make_shared<PieceByPiece>();
  Bench bench;
  Tcp::socket peer{bench.peers};
  std::string got;
};

TEST(EarlyAnswer, AnInterimOneDoesNotStopTheBody) {
  Uploading upload;
  SendRaw(upload.peer, "HTTP/1.1 100 Continue\r\n\r\n");
  upload.RunUntilTaken();
  ASSERT_TRUE(upload.body->Asked());
  upload.body->Give("more", true);
  const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(5);
  while (upload.got.find("more") == std::string::npos && std::chrono::steady_clock::now() < until)
    upload.Receive();
  ASSERT_NE(upload.got.find("more"), std::string::npos);
  SendRaw(upload.peer, OkAnswer("served"));
  upload.bench.RunUntilResult();
  ASSERT_TRUE(upload.bench.result.has_value());
  EXPECT_EQ(upload.bench.result->outcome, Outcome::kOk);
}

// It comes in the turn in which the last piece is written: what the client has left holds all the same.
TEST(EarlyAnswer, AnInterimOneThatCrossesTheLastPieceLeavesTheTimeOut) {
  Uploading upload;
  SendRaw(upload.peer, "HTTP/1.1 100 Continue\r\n\r\n");
  upload.body->Give("more", true, Duration(200));
  const auto given = std::chrono::steady_clock::now();
  upload.bench.RunUntilResult();
  ASSERT_TRUE(upload.bench.result.has_value());
  EXPECT_EQ(upload.bench.result->outcome, Outcome::kTimeout);
  EXPECT_LT(std::chrono::steady_clock::now() - given, std::chrono::seconds(5));
}

TEST(EarlyAnswer, AFinalOneEndsTheBodyAndItsConnection) {
  Uploading upload;
  SendRaw(upload.peer, OkAnswer("enough"));
  upload.bench.RunUntilResult();
  ASSERT_TRUE(upload.bench.result.has_value());
  EXPECT_EQ(upload.bench.result->outcome, Outcome::kOk);
  EXPECT_EQ(upload.bench.result->response.body(), "enough");
  EXPECT_FALSE(upload.body->Asked());
  EXPECT_EQ(upload.bench.backends.connections(), 0u);
}

TEST(EarlyAnswer, AConnectionThatEndsBeforeTheLastPieceNeverRan) {
  Uploading upload;
  SendRaw(upload.peer, "HTTP/1.1 50");
  upload.peer.close();
  upload.bench.RunUntilResult();
  ASSERT_TRUE(upload.bench.result.has_value());
  EXPECT_EQ(upload.bench.result->outcome, Outcome::kConnectFailed);
}

}  // namespace
}  // namespace load_balancer::testing
