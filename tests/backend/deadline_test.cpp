// SPDX-License-Identifier: Apache-2.0
//
// The header Req-Deadline-Ms of an attempt never exceeds the time that the client has left when the header is
// written.
#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <thread>

#include "backend/backends_fixture.h"
#include "backend/blocked_listener.h"

namespace load_balancer::testing {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

int SentDeadlineMs(const HttpRequest& request) { return std::stoi(std::string(request["Req-Deadline-Ms"])); }

// SinglePieceBody is a streamed body of one piece.
class SinglePieceBody : public proxy::BodySource {
 public:
  explicit SinglePieceBody(Clock::time_point due) : due_(due) {}
  void Next(OnPiece on_piece) override {
    has_started_ = true;
    proxy::Piece piece;
    piece.bytes = "text";
    piece.last = true;
    piece.due = due_;
    on_piece(std::move(piece));
  }
  void Abandon() override {}
  bool HasStarted() const override { return has_started_; }

 private:
  Clock::time_point due_;
  bool has_started_ = false;
};

// Sends an attempt whose connection is established no sooner than `connect_delay` later. Returns the deadline
// that its request contains.
int DeadlineSentAfterSlowConnect(Duration timeout, milliseconds connect_delay,
                                 std::shared_ptr<proxy::BodySource> body) {
  BlockedListener listener;
  Backends::Limits limits;
  limits.connect_timeout = Duration(20000);
  BackendsFixture fixture(limits);
  fixture.backends.Set(kServer, listener.address(), 0);
  HttpRequest request{http::verb::post, "/book", 11};
  request.content_length(body ? 4 : 0);
  proxy::OutgoingRequest outgoing = MakeOutgoing(std::move(request));
  outgoing.body = std::move(body);
  const auto sent_at = Clock::now();
  fixture.backends.Send(kServer, std::move(outgoing), timeout, StoreResult(&fixture.result));
  while (Clock::now() < sent_at + connect_delay) fixture.RunOnce();
  listener.Unblock();
  Tcp::socket peer(fixture.peers);
  const auto until = Clock::now() + kGiveUp;
  while (!listener.Accept(&peer) && Clock::now() < until) fixture.RunOnce();
  return SentDeadlineMs(fixture.ReadRequest(peer));
}

TEST(DeadlineHeader, IsComputedWhenTheRequestIsWrittenNotWhenItsConnectionIsOpened) {
  const int sent_ms = DeadlineSentAfterSlowConnect(Duration(9000), milliseconds(300), nullptr);
  EXPECT_LE(sent_ms, 8700);
  EXPECT_GT(sent_ms, 0);
}

TEST(DeadlineHeader, OfAStreamedBodyIsComputedWhenTheHeadIsWritten) {
  const auto body = std::make_shared<SinglePieceBody>(Clock::now() + std::chrono::seconds(60));
  const int sent_ms = DeadlineSentAfterSlowConnect(Duration(9000), milliseconds(300), body);
  EXPECT_LE(sent_ms, 8700);
  EXPECT_GT(sent_ms, 0);
}

TEST(DeadlineHeader, IsRoundedDown) {
  BackendsFixture fixture;
  fixture.Send(Duration(8000.999));
  Tcp::socket peer = fixture.Accept();
  EXPECT_LE(SentDeadlineMs(fixture.ReadRequest(peer)), 8000);
}

// The deadline passes before the event loop handles the established connection.
TEST(DeadlineHeader, NothingIsWrittenIfTheDeadlinePassesWhileConnecting) {
  BackendsFixture fixture;
  fixture.Send(Duration(20));
  Tcp::socket peer = fixture.Accept();
  std::this_thread::sleep_until(Clock::now() + milliseconds(25));
  EXPECT_EQ(fixture.ReadToEnd(peer), "");
  ASSERT_TRUE(fixture.result.has_value());
  EXPECT_TRUE(fixture.result->outcome == Outcome::kNotSent ||
              fixture.result->outcome == Outcome::kConnectFailed);
}

TEST(DeadlineHeader, NothingIsWrittenOnAReusedConnectionIfTheDeadlineHasPassed) {
  BackendsFixture fixture;
  fixture.Send(Duration(30000));
  Tcp::socket peer = fixture.Accept();
  fixture.ReadRequest(peer);
  SendRaw(peer, OkAnswer("served"));
  fixture.RunUntilResult();
  fixture.Send(Duration(0.9));
  EXPECT_EQ(fixture.ReadToEnd(peer), "");
  ASSERT_TRUE(fixture.result.has_value());
  EXPECT_EQ(fixture.result->outcome, Outcome::kNotSent);
}

// The server rejects the first attempt after 200 ms.
TEST(DeadlineHeader, OfASecondAttemptIsReducedByTheTimeOfTheFirst) {
  const auto answer = [attempts = std::make_shared<int>(0)](Tcp::socket& socket, const HttpRequest&) {
    if ((*attempts)++ > 0) return SendRaw(socket, OkAnswer("served")), true;
    std::this_thread::sleep_for(milliseconds(200));
    return SendRaw(socket, kDeclined), true;
  };
  Backend backend(answer);
  FakeDiscovery discovery;
  RunningProxy proxy(ConfigJson(discovery.address(), Members(MemberJson("s1", backend.address()))));
  Client client(proxy.address);
  EXPECT_EQ(client.Ask(Look("Req-Deadline-Ms: 9000\r\n")).body(), "served");
  const auto requests = backend.seen.Get().requests;
  ASSERT_EQ(requests.size(), 2u);
  EXPECT_LT(SentDeadlineMs(requests[0]), 9000);  // rounded down, and some time has passed
  EXPECT_LE(SentDeadlineMs(requests[1]), 8800);
}

}  // namespace
}  // namespace load_balancer::testing
