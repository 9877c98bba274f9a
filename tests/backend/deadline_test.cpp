// SPDX-License-Identifier: Apache-2.0
//
// The time that an attempt tells its server is never more than what its client has left by then.
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

int Told(const HttpRequest& request) { return std::stoi(std::string(request["Req-Deadline-Ms"])); }

// A body of one piece.
class OnePiece : public proxy::BodySource {
 public:
  explicit OnePiece(Clock::time_point due) : due_(due) {}
  void Next(OnPiece on_piece) override {
    spent_ = true;
    proxy::Piece piece;
    piece.bytes = "text";
    piece.last = true;
    piece.due = due_;
    on_piece(std::move(piece));
  }
  void Abandon() override {}
  bool Spent() const override { return spent_; }

 private:
  Clock::time_point due_;
  bool spent_ = false;
};

// An attempt whose connection comes up no sooner than `held` after it was made; what it tells then.
int ToldAfterASlowDial(Duration timeout, milliseconds held, std::shared_ptr<proxy::BodySource> body) {
  HeldListener listener;
  Backends::Limits limits;
  limits.connect_timeout = Duration(20000);
  Bench bench(limits);
  bench.backends.Set(kServer, listener.address(), 0);
  HttpRequest request{http::verb::post, "/book", 11};
  request.content_length(body ? 4 : 0);
  proxy::Outgoing out = Out(std::move(request));
  out.body = std::move(body);
  const auto made = Clock::now();
  bench.backends.Send(kServer, std::move(out), timeout, Into(&bench.result));
  while (Clock::now() < made + held) bench.RunOnce();
  listener.LetIn();
  Tcp::socket peer(bench.peers);
  const auto until = Clock::now() + kGiveUp;
  while (!listener.Accept(&peer) && Clock::now() < until) bench.RunOnce();
  return Told(bench.ReadRequest(peer));
}

TEST(TimeLeft, IsToldAsTheRequestIsWrittenAndNotAsItsConnectionIsDialed) {
  const int told = ToldAfterASlowDial(Duration(9000), milliseconds(300), nullptr);
  EXPECT_LE(told, 8700);
  EXPECT_GT(told, 0);
}

TEST(TimeLeft, OfABodyThatIsPassedOnIsWhatIsKnownAsItsHeadIsWritten) {
  const auto later = std::make_shared<OnePiece>(Clock::now() + std::chrono::seconds(60));
  const int told = ToldAfterASlowDial(Duration(9000), milliseconds(300), later);
  EXPECT_LE(told, 8700);
  EXPECT_GT(told, 0);
}

TEST(TimeLeft, IsRoundedDown) {
  Bench bench;
  bench.Send(Duration(8000.999));
  Tcp::socket peer = bench.Accept();
  EXPECT_LE(Told(bench.ReadRequest(peer)), 8000);
}

// The connection is up, and in the turn in which the event loop hears of it the time is over.
TEST(TimeLeft, NothingIsWrittenWhereNoneIsLeftOnceTheConnectionIsUp) {
  Bench bench;
  bench.Send(Duration(20));
  Tcp::socket peer = bench.Accept();
  std::this_thread::sleep_until(Clock::now() + milliseconds(25));
  EXPECT_EQ(bench.ReadToEnd(peer), "");
  ASSERT_TRUE(bench.result.has_value());
  EXPECT_TRUE(bench.result->outcome == Outcome::kNotSent || bench.result->outcome == Outcome::kConnectFailed);
}

TEST(TimeLeft, NothingIsWrittenOnAConnectionUsedAgainWhereNoneIsLeft) {
  Bench bench;
  bench.Send(Duration(30000));
  Tcp::socket peer = bench.Accept();
  bench.ReadRequest(peer);
  SendRaw(peer, OkAnswer("served"));
  bench.RunUntilResult();
  bench.Send(Duration(0.9));
  EXPECT_EQ(bench.ReadToEnd(peer), "");
  ASSERT_TRUE(bench.result.has_value());
  EXPECT_EQ(bench.result->outcome, Outcome::kNotSent);
}

// The first attempt takes its time and is turned away.
TEST(TimeLeft, OfAFurtherAttemptIsLessByWhatTheFirstOneTook) {
  const auto answer = [tries = std::make_shared<int>(0)](Tcp::socket& socket, const HttpRequest&) {
    if ((*tries)++ > 0) return SendRaw(socket, OkAnswer("served")), true;
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
  EXPECT_LT(Told(requests[0]), 9000);  // rounded down, and some of it has gone
  EXPECT_LE(Told(requests[1]), 8800);
}

}  // namespace
}  // namespace load_balancer::testing
