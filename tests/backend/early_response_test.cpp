// SPDX-License-Identifier: Apache-2.0
//
// Responses that a server sends while the request body is still being streamed to it.
#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "backend/backends_fixture.h"

namespace load_balancer::testing {
namespace {

constexpr Duration kLongTimeout{30000};

// ManualBody is a streamed body whose pieces the test provides.
class ManualBody : public proxy::BodySource {
 public:
  void Next(OnPiece on_piece) override { pending_ = std::move(on_piece); }
  void Abandon() override { pending_ = nullptr; }
  bool HasStarted() const override { return true; }

  bool HasPendingRequest() const { return static_cast<bool>(pending_); }
  void Give(const std::string& bytes, bool last, Duration patience = kLongTimeout) {
    proxy::Piece piece;
    piece.bytes = bytes;
    piece.last = last;
    piece.due = proxy::Steady::now() + std::chrono::ceil<proxy::Steady::duration>(patience);
    std::exchange(pending_, nullptr)(std::move(piece));
  }

 private:
  OnPiece pending_;
};

// PartialUpload sends a request with a body of two pieces of four bytes, of which the server has received the
// first.
struct PartialUpload {
  explicit PartialUpload() {
    HttpRequest request{http::verb::post, "/book", 11};
    request.content_length(8);
    proxy::OutgoingRequest outgoing = MakeOutgoing(std::move(request));
    outgoing.body = body;
    fixture.backends.Send(kServer, std::move(outgoing), kLongTimeout, StoreResult(&fixture.result));
    peer = fixture.Accept();
    while (!body->HasPendingRequest()) fixture.RunOnce();
    body->Give("text", false);
    while (got.find("text") == std::string::npos) Receive();
  }
  void Receive() {
    fixture.RunOnce();
    if (peer.available() == 0) return;
    char bytes[1000];
    got.append(bytes, peer.read_some(asio::buffer(bytes)));
  }
  // Runs the event loop until it has received everything that the server has sent.
  void RunUntilReceived() {
    for (int i = 0; i < 100; ++i) fixture.RunOnce();
  }

  std::shared_ptr<ManualBody> body = std::make_shared<ManualBody>();
  BackendsFixture fixture;
  Tcp::socket peer{fixture.peers};
  std::string got;
};

TEST(EarlyResponse, AnInterimResponseDoesNotStopTheUpload) {
  PartialUpload upload;
  SendRaw(upload.peer, "HTTP/1.1 100 Continue\r\n\r\n");
  upload.RunUntilReceived();
  ASSERT_TRUE(upload.body->HasPendingRequest());
  upload.body->Give("more", true);
  const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(5);
  while (upload.got.find("more") == std::string::npos && std::chrono::steady_clock::now() < until)
    upload.Receive();
  ASSERT_NE(upload.got.find("more"), std::string::npos);
  SendRaw(upload.peer, OkAnswer("served"));
  upload.fixture.RunUntilResult();
  ASSERT_TRUE(upload.fixture.result.has_value());
  EXPECT_EQ(upload.fixture.result->outcome, Outcome::kOk);
}

// The interim response arrives in the same event loop iteration in which the last piece is written. The
// timeout of the attempt must still apply.
TEST(EarlyResponse, AnInterimResponseThatCrossesTheLastPieceKeepsTheTimeout) {
  PartialUpload upload;
  SendRaw(upload.peer, "HTTP/1.1 100 Continue\r\n\r\n");
  upload.body->Give("more", true, Duration(200));
  const auto given = std::chrono::steady_clock::now();
  upload.fixture.RunUntilResult();
  ASSERT_TRUE(upload.fixture.result.has_value());
  EXPECT_EQ(upload.fixture.result->outcome, Outcome::kTimeout);
  EXPECT_LT(std::chrono::steady_clock::now() - given, std::chrono::seconds(5));
}

TEST(EarlyResponse, AFinalResponseStopsTheUploadAndClosesTheConnection) {
  PartialUpload upload;
  SendRaw(upload.peer, OkAnswer("enough"));
  upload.fixture.RunUntilResult();
  ASSERT_TRUE(upload.fixture.result.has_value());
  EXPECT_EQ(upload.fixture.result->outcome, Outcome::kOk);
  EXPECT_EQ(upload.fixture.result->response.body(), "enough");
  EXPECT_FALSE(upload.body->HasPendingRequest());
  EXPECT_EQ(upload.fixture.backends.connections(), 0u);
}

TEST(EarlyResponse, AConnectionClosedBeforeTheLastPieceCountsAsConnectFailed) {
  PartialUpload upload;
  SendRaw(upload.peer, "HTTP/1.1 50");
  upload.peer.close();
  upload.fixture.RunUntilResult();
  ASSERT_TRUE(upload.fixture.result.has_value());
  EXPECT_EQ(upload.fixture.result->outcome, Outcome::kConnectFailed);
}

}  // namespace
}  // namespace load_balancer::testing
