// SPDX-License-Identifier: Apache-2.0
//
// Clients that close or reset their connection while their request is held: noticed at once wherever the end
// is, and nothing is sent on for them afterwards.
#include <gtest/gtest.h>

#include <boost/asio/read_until.hpp>

#include "loopback.h"

namespace load_balancer::testing {
namespace {

using std::chrono::milliseconds;

// The operators allow 100 ms from the close to the last attempt's start; the rest is for a busy machine.
constexpr milliseconds kNoticed{500};

std::string LookOf(const std::string& id) {
  return "GET /look HTTP/1.1\r\nHost: x\r\nReq-Id: " + id + "\r\nReq-Kind: look\r\n\r\n";
}
// Of the nth of many.
std::string IdOf(int n) { return std::string("n").append(std::to_string(n)); }
std::string BookHead(std::size_t body) {
  return "POST /book HTTP/1.1\r\nHost: x\r\nReq-Id: b\r\nReq-Kind: book\r\nContent-Length: " +
         std::to_string(body) + "\r\n\r\n";
}

// More than the proxy reads ahead, and less than the system takes in without it.
std::string ManyLooks() {
  std::string all;
  for (int i = 0; i < 400; ++i) all += LookOf(IdOf(i));
  return all;
}

enum class Leave { kClose, kReset };

void LeaveBy(Leave how, Client& client) {
  if (how == Leave::kReset) client.socket.set_option(asio::socket_base::linger(true, 0));
  client.socket.close();
}

// How long a proxy goes on holding something; kGiveUp or more if for good.
milliseconds TimeUntilNothingIsHeld(RunningProxy& proxy) {
  const auto began = std::chrono::steady_clock::now();
  const bool over = proxy.WaitUntilNothingIsHeld();
  const auto took = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - began);
  return over ? took : std::max<milliseconds>(took, kGiveUp);
}

bool WaitUntilHeld(RunningProxy& proxy) {
  const auto until = std::chrono::steady_clock::now() + kGiveUp;
  while (proxy.Ask([](proxy::Proxy& p) { return p.held(); }) == 0) {
    if (std::chrono::steady_clock::now() > until) return false;
    std::this_thread::yield();
  }
  return true;
}

struct Behind {
  const char* what;
  std::string bytes;  // after the request that is held
};

void PrintTo(const Behind& behind, std::ostream* out) { *out << behind.what; }

// Of a request that waits for a server, and what its client has sent before it closed.
class WaitingClient : public ::testing::TestWithParam<std::tuple<Leave, Behind>> {};

TEST_P(WaitingClient, ThatLeavesIsForgottenAtOnceAndNeverSentOn) {
  const auto& [leave, behind] = GetParam();
  FakeDiscovery discovery;
  RunningProxy proxy(ConfigJson(discovery.address(), {}));
  Client client(proxy.address);
  client.Send(behind.bytes);
  ASSERT_TRUE(WaitUntilHeld(proxy));
  LeaveBy(leave, client);
  EXPECT_LT(TimeUntilNothingIsHeld(proxy), kNoticed);
  // The first servers: whatever still waits is sent to them before the newcomer's request.
  Backend backend;
  discovery.Push(ListJson(42, true, Members(MemberJson("s-1", backend.address()))));
  EXPECT_EQ(Client(proxy.address).Ask(LookOf("newcomer")).result_int(), 200u);
  const auto requests = backend.seen.Get().requests;
  ASSERT_EQ(requests.size(), 1u);
  EXPECT_EQ(requests[0]["Req-Id"], "newcomer");
}

INSTANTIATE_TEST_SUITE_P(
    Gone, WaitingClient,
    ::testing::Combine(::testing::Values(Leave::kClose, Leave::kReset),
                       ::testing::Values(Behind{"Nothing", LookOf("a")},
                                         Behind{"ARequest", LookOf("a") + LookOf("b")},
                                         Behind{"HalfARequest", LookOf("a") + LookOf("b").substr(0, 30)},
                                         Behind{"MoreThanIsReadAhead", LookOf("a") + ManyLooks()},
                                         Behind{"HalfOfItsBody", BookHead(150000) + std::string(75000, 'b')},
                                         Behind{"MoreOfItsBodyThanIsReadAhead",
                                                BookHead(200000) + std::string(60000, 'b')})),
    [](const auto& info) {
      return std::string(std::get<0>(info.param) == Leave::kClose ? "ClosesBehind" : "ResetsBehind") +
             std::get<1>(info.param).what;
    });

// The server takes the connection and some of the body, and reads nothing more: the proxy reads none of it
// either.
TEST(Gone, AClientThatResetsWhileItsBodyIsHeldBackIsNoticed) {
  Watched<bool> over;
  Listener server([&](Tcp::socket&) { over.WaitFor([](bool o) { return o; }); });
  FakeDiscovery discovery;
  RunningProxy proxy(ConfigJson(discovery.address(), Members(MemberJson("s-1", server.address))));
  Client client(proxy.address);
  constexpr std::size_t kBody = 30 * 1000 * 1000;
  client.Send(BookHead(kBody));
  client.socket.non_blocking(true);
  // Until all that lies between is full.
  const std::string piece(100 * 1000, 'b');
  auto moved_at = std::chrono::steady_clock::now();
  for (std::size_t sent = 0; std::chrono::steady_clock::now() < moved_at + milliseconds(300);) {
    ASSERT_LT(sent, kBody) << "nothing holds the client back";
    error_code full;
    const std::size_t n = client.socket.write_some(asio::buffer(piece), full);
    if (n > 0) moved_at = std::chrono::steady_clock::now();
    sent += n;
    if (full) std::this_thread::yield();
  }
  LeaveBy(Leave::kReset, client);
  EXPECT_LT(TimeUntilNothingIsHeld(proxy), kNoticed);
  EXPECT_EQ(proxy.Ask([](proxy::Proxy& p) { return p.client_connections(); }), 0u);
  over.Do([](bool& o) { o = true; });
}

// The attempt that is out fails once its client has gone, and another server would serve.
TEST(Gone, NoFurtherAttemptFollowsOneWhoseClientHasGone) {
  for (const std::string& behind : {std::string(), LookOf("b"), ManyLooks()}) {
    Watched<bool> gone;
    Backend fails([&](Tcp::socket&, const HttpRequest&) {
      gone.WaitFor([](bool g) { return g; });
      return false;
    });
    Backend other;
    FakeDiscovery discovery;
    RunningProxy proxy(ConfigJson(discovery.address(), Members(MemberJson("s-1", fails.address()))));
    Client client(proxy.address);
    client.Send(LookOf("a") + behind);
    ASSERT_TRUE(fails.WaitForRequests(1));
    discovery.Push(ListJson(42, false, Members(MemberJson("s-2", other.address()))));
    LeaveBy(Leave::kClose, client);
    const auto until = std::chrono::steady_clock::now() + kGiveUp;
    while (proxy.Ask([](proxy::Proxy& p) { return p.client_connections(); }) > 0 &&
           std::chrono::steady_clock::now() < until)
      std::this_thread::yield();
    EXPECT_LT(std::chrono::steady_clock::now(), until) << behind.size() << " bytes behind";
    gone.Do([](bool& g) { g = true; });
    EXPECT_TRUE(proxy.WaitUntilNothingIsHeld());
    EXPECT_TRUE(other.seen.Get().requests.empty()) << behind.size() << " bytes behind";
  }
}

// Its first connection never comes up, as the server's queue is full; the next server would serve.
TEST(Gone, NoFurtherAttemptFollowsADialWhoseClientHasGone) {
  asio::io_context io;
  Tcp::acceptor full(io, kAnyPort.protocol());
  full.bind(kAnyPort);
  full.listen(0);
  Tcp::socket filler(io);
  filler.connect(full.local_endpoint());
  Backend other;
  FakeDiscovery discovery;
  auto config = ConfigJson(discovery.address(), Members(MemberJson("s-1", full.local_endpoint())));
  config["settings"]["permissions"]["connectTimeoutMs"] = 400;
  RunningProxy proxy(config);
  Client client(proxy.address);
  client.Send(LookOf("a") + LookOf("b"));
  ASSERT_TRUE(WaitUntilHeld(proxy));
  discovery.Push(ListJson(42, false, Members(MemberJson("s-2", other.address()))));
  LeaveBy(Leave::kClose, client);
  EXPECT_TRUE(proxy.WaitUntilNothingIsHeld());
  EXPECT_EQ(Client(proxy.address).Ask(LookOf("newcomer")).result_int(), 200u);
  EXPECT_EQ(other.seen.Get().requests.size(), 1u);
}

// While its first answer is passed on, a client closes: the request behind it is for nobody.
TEST(Gone, WhatWaitsBehindAnAnswerThatNobodyReadsIsNotSentOn) {
  Watched<bool> go_on;
  Backend backend([&](Tcp::socket& s, const HttpRequest&) {
    SendRaw(s, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + std::string(70000, 'x'));
    go_on.WaitFor([](bool g) { return g; });
    SendRaw(s, std::string(30000, 'x'));
    return true;
  });
  FakeDiscovery discovery;
  RunningProxy proxy(ConfigJson(discovery.address(), Members(MemberJson("s-1", backend.address()))));
  Client client(proxy.address);
  client.Send(LookOf("a") + LookOf("b"));
  std::string begun;  // all that there is: bytes left unread would make the close a reset
  asio::read_until(client.socket, asio::dynamic_buffer(begun), "\r\n\r\n");
  const std::size_t head = begun.find("\r\n\r\n") + 4;
  asio::read(client.socket, asio::dynamic_buffer(begun), asio::transfer_exactly(head + 70000 - begun.size()));
  LeaveBy(Leave::kClose, client);
  const auto until = std::chrono::steady_clock::now() + kGiveUp;
  while (proxy.Ask([](proxy::Proxy& p) { return p.client_connections(); }) > 0 &&
         std::chrono::steady_clock::now() < until)
    std::this_thread::yield();
  EXPECT_LT(std::chrono::steady_clock::now(), until) << "not noticed";
  go_on.Do([](bool& g) { g = true; });
  EXPECT_TRUE(proxy.WaitUntilNothingIsHeld());
  EXPECT_EQ(backend.seen.Get().requests.size(), 1u);
}

// What is read ahead is served, each once and in order.
TEST(Gone, RequestsReadAheadAreServedInOrder) {
  Backend backend([](Tcp::socket& s, const HttpRequest& r) {
    SendRaw(s, OkAnswer(std::string(r["Req-Id"])));
    return true;
  });
  FakeDiscovery discovery;
  RunningProxy proxy(ConfigJson(discovery.address(), Members(MemberJson("s-1", backend.address()))));
  Client client(proxy.address);
  std::thread sender([&] { client.Send(ManyLooks()); });
  for (int i = 0; i < 400; ++i) {
    const HttpResponse answer = client.Read();
    ASSERT_EQ(answer.result_int(), 200u) << i;
    ASSERT_EQ(answer.body(), IdOf(i));
  }
  sender.join();
  EXPECT_EQ(backend.seen.Get().requests.size(), 400u);
}

}  // namespace
}  // namespace load_balancer::testing
