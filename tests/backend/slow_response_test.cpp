// SPDX-License-Identifier: Apache-2.0
//
// Responses that a server writes slowly, and responses that a client reads slowly. Neither is cut off while
// it makes progress and its time is not over.
#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <thread>

#include "backend/backends_fixture.h"
#include "loopback.h"

namespace load_balancer::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kStreamedBody = 100'000;
constexpr seconds kLongPause{11};  // longer than a response may stall once it is due

std::string HeadFor(std::size_t length) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

// Guards against a streamed response that is cut off within the client's time, as its server pauses.
TEST(SlowResponse, APauseOfTheServerWithinTheClientsTimeCutsNothingOff) {
  Backend backend([](Tcp::socket& socket, const HttpRequest&) {
    SendRaw(socket, HeadFor(kStreamedBody) + std::string(kStreamedBody / 2, 'x'));
    std::this_thread::sleep_for(kLongPause);
    SendRaw(socket, std::string(kStreamedBody / 2, 'x'));
    return true;
  });
  FakeDiscovery discovery;
  RunningProxy proxy(ConfigJson(discovery.address(), Members(MemberJson("s-1", backend.address()))));
  const HttpResponse response = Client(proxy.address).Ask(Look());
  EXPECT_EQ(response.result_int(), 200u);
  EXPECT_EQ(response.body().size(), kStreamedBody);
}

// Guards against a response that is cut off because the system's buffers, which hold much of it, drain
// slowly.
TEST(SlowResponse, AClientThatReadsSlowlyGetsAllOfIt) {
  constexpr std::size_t kBody = 5'000'000, kPiece = 6'400;
  constexpr milliseconds kPiecePause{100};
  Backend backend([](Tcp::socket& socket, const HttpRequest&) {
    SendRaw(socket, OkAnswer(std::string(kBody, 'x')));
    return true;
  });
  FakeDiscovery discovery;
  RunningProxy proxy(ConfigJson(discovery.address(), Members(MemberJson("s-1", backend.address()))));
  Client client(proxy.address);
  client.Send(Look());
  std::string piece(kPiece, '\0');
  std::size_t received = 0;
  error_code failed;
  const auto fast_from = Clock::now() + seconds(30);
  while (!failed && received < kBody) {
    if (Clock::now() < fast_from) std::this_thread::sleep_for(kPiecePause);
    received += client.socket.read_some(asio::buffer(piece), failed);
  }
  EXPECT_FALSE(failed) << failed.message() << " after " << received << " bytes";
}

// Guards against an attempt that times out while its response arrives, so that the request begins anew or
// fails.
TEST(SlowResponse, AnAttemptThatTimesOutWithinItsResponseGoesOn) {
  constexpr milliseconds kTimeout{300}, kDue{5000};
  BackendsFixture fixture;
  bool has_started = false;
  std::optional<AttemptResult> ended;
  proxy::AttemptEvents events;
  std::shared_ptr<proxy::BodySource> body;
  events.stream_started = [&](proxy::ResponseHead head) {
    has_started = true;
    body = head.body;
  };
  events.done = [&](AttemptResult attempt) { ended = std::move(attempt); };
  HttpRequest request{http::verb::get, "/look", 11};
  auto outgoing = MakeOutgoing(std::move(request));
  outgoing.due = Clock::now() + kDue;
  fixture.backends.Send(kServer, std::move(outgoing), Duration(kTimeout), std::move(events));
  Tcp::socket socket = fixture.Accept();
  fixture.ReadRequest(socket);
  SendRaw(socket, HeadFor(10'000));
  const auto until = Clock::now() + 2 * kTimeout;
  while (Clock::now() < until && !has_started && !ended) {
    SendRaw(socket, "x");
    fixture.RunOnce();
    std::this_thread::sleep_for(milliseconds(10));
  }
  EXPECT_TRUE(has_started);
  EXPECT_FALSE(ended);
}

}  // namespace
}  // namespace load_balancer::testing
