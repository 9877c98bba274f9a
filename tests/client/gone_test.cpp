// SPDX-License-Identifier: Apache-2.0
//
// Clients that close or reset their connection while their request is pending. The proxy must notice the
// close at once, whatever input precedes it, and must send nothing for the client afterwards.
#include <gtest/gtest.h>

#include <boost/asio/read_until.hpp>

#include "loopback.h"

namespace load_balancer::testing {
namespace {

using std::chrono::milliseconds;

// At most 100 ms are allowed from the close to the start of the last attempt. The rest is a margin for a busy
// machine.
constexpr milliseconds kNoticeLimit{500};

std::string LookRequest(const std::string& id) {
  return "GET /look HTTP/1.1\r\nHost: x\r\nReq-Id: " + id + "\r\nReq-Kind: look\r\n\r\n";
}
// Returns the Req-Id of request number `n`.
std::string NumberedId(int n) { return std::string("n").append(std::to_string(n)); }
std::string BookHead(std::size_t body) {
  return "POST /book HTTP/1.1\r\nHost: x\r\nReq-Id: " + FreshRequestId() +
         "\r\nReq-Kind: book\r\nContent-Length: " + std::to_string(body) + "\r\n\r\n";
}

// Returns more requests than the proxy reads ahead, but less than fits into the socket buffers of the
// operating system.
std::string ManyLookRequests() {
  std::string all;
  for (int i = 0; i < 400; ++i) all += LookRequest(NumberedId(i));
  return all;
}

enum class Departure { kClose, kReset };

void Disconnect(Departure departure, Client& client) {
  if (departure == Departure::kReset) client.socket.set_option(asio::socket_base::linger(true, 0));
  client.socket.close();
}

// Waits until the proxy has no pending request. Returns how long that took, or kGiveUp or more if a request
// stays pending.
milliseconds TimeUntilNoRequestIsPending(RunningProxy& proxy) {
  const auto began = std::chrono::steady_clock::now();
  const bool finished = proxy.WaitUntilNoRequestIsPending();
  const auto took = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - began);
  return finished ? took : std::max<milliseconds>(took, kGiveUp);
}

bool WaitUntilARequestIsPending(RunningProxy& proxy) {
  const auto until = std::chrono::steady_clock::now() + kGiveUp;
  while (proxy.Ask([](proxy::Proxy& p) { return p.held(); }) == 0) {
    if (std::chrono::steady_clock::now() > until) return false;
    std::this_thread::yield();
  }
  return true;
}

// QueuedInput is the input that a client sends before it disconnects.
struct QueuedInput {
  const char* name;
  std::string bytes;  // the pending request and the input that follows it
};

void PrintTo(const QueuedInput& queued, std::ostream* out) { *out << queued.name; }

// The request waits for a server when its client disconnects.
class WaitingClient : public ::testing::TestWithParam<std::tuple<Departure, QueuedInput>> {};

TEST_P(WaitingClient, DisconnectsAndItsRequestIsDroppedAtOnce) {
  const auto& [departure, queued] = GetParam();
  FakeDiscovery discovery;
  RunningProxy proxy(ConfigJson(discovery.address(), {}));
  Client client(proxy.address);
  client.Send(queued.bytes);
  ASSERT_TRUE(WaitUntilARequestIsPending(proxy));
  Disconnect(departure, client);
  EXPECT_LT(TimeUntilNoRequestIsPending(proxy), kNoticeLimit);
  // Discovery now lists the first server. If the first request were still pending, it would be sent to this
  // server before the request of the new client.
  Backend backend;
  discovery.Push(ListJson(42, true, Members(MemberJson("s-1", backend.address()))));
  EXPECT_EQ(Client(proxy.address).Ask(LookRequest("newcomer")).result_int(), 200u);
  const auto requests = backend.seen.Get().requests;
  ASSERT_EQ(requests.size(), 1u);
  EXPECT_EQ(requests[0]["Req-Id"], "newcomer");
}

INSTANTIATE_TEST_SUITE_P(
    Gone, WaitingClient,
    ::testing::Combine(
        ::testing::Values(Departure::kClose, Departure::kReset),
        ::testing::Values(
            QueuedInput{"Nothing", LookRequest("a")},
            QueuedInput{"ASecondRequest", LookRequest("a") + LookRequest("b")},
            QueuedInput{"HalfOfASecondRequest", LookRequest("a") + LookRequest("b").substr(0, 30)},
            QueuedInput{"MoreThanIsReadAhead", LookRequest("a") + ManyLookRequests()},
            QueuedInput{"HalfOfTheBody", BookHead(150000) + std::string(75000, 'b')},
            QueuedInput{"MoreOfTheBodyThanIsReadAhead", BookHead(200000) + std::string(60000, 'b')})),
    [](const auto& info) {
      return std::string(std::get<0>(info.param) == Departure::kClose ? "ClosesAfter" : "ResetsAfter") +
             std::get<1>(info.param).name;
    });

// The server accepts the connection but reads none of the body, so the proxy stops reading the body from the
// client.
TEST(Gone, AResetIsNoticedWhileBackpressureStopsTheUpload) {
  Watched<bool> finished;
  Listener server([&](Tcp::socket&) { finished.WaitFor([](bool o) { return o; }); });
  FakeDiscovery discovery;
  RunningProxy proxy(ConfigJson(discovery.address(), Members(MemberJson("s-1", server.address))));
  Client client(proxy.address);
  constexpr std::size_t kBody = 30 * 1000 * 1000;
  client.Send(BookHead(kBody));
  client.socket.non_blocking(true);
  // Sends until all buffers between the client and the server are full.
  const std::string piece(100 * 1000, 'b');
  auto moved_at = std::chrono::steady_clock::now();
  for (std::size_t sent = 0; std::chrono::steady_clock::now() < moved_at + milliseconds(300);) {
    ASSERT_LT(sent, kBody) << "there is no backpressure on the client";
    error_code full;
    const std::size_t n = client.socket.write_some(asio::buffer(piece), full);
    if (n > 0) moved_at = std::chrono::steady_clock::now();
    sent += n;
    if (full) std::this_thread::yield();
  }
  Disconnect(Departure::kReset, client);
  EXPECT_LT(TimeUntilNoRequestIsPending(proxy), kNoticeLimit);
  EXPECT_EQ(proxy.Ask([](proxy::Proxy& p) { return p.client_connections(); }), 0u);
  finished.Do([](bool& o) { o = true; });
}

// The first attempt fails after its client has disconnected. Another server is available.
TEST(Gone, NoRetryAfterTheClientHasDisconnected) {
  for (const std::string& queued : {std::string(), LookRequest("b"), ManyLookRequests()}) {
    Watched<bool> gone;
    Backend fails([&](Tcp::socket&, const HttpRequest&) {
      gone.WaitFor([](bool g) { return g; });
      return false;
    });
    Backend other;
    FakeDiscovery discovery;
    RunningProxy proxy(ConfigJson(discovery.address(), Members(MemberJson("s-1", fails.address()))));
    Client client(proxy.address);
    client.Send(LookRequest("a") + queued);
    ASSERT_TRUE(fails.WaitForRequests(1));
    discovery.Push(ListJson(42, false, Members(MemberJson("s-2", other.address()))));
    Disconnect(Departure::kClose, client);
    const auto until = std::chrono::steady_clock::now() + kGiveUp;
    while (proxy.Ask([](proxy::Proxy& p) { return p.client_connections(); }) > 0 &&
           std::chrono::steady_clock::now() < until)
      std::this_thread::yield();
    EXPECT_LT(std::chrono::steady_clock::now(), until) << queued.size() << " bytes sent after the request";
    gone.Do([](bool& g) { g = true; });
    EXPECT_TRUE(proxy.WaitUntilNoRequestIsPending());
    EXPECT_TRUE(other.seen.Get().requests.empty()) << queued.size() << " bytes sent after the request";
  }
}

// The connection of the first attempt is never established, as the accept queue of the server is full.
// Another server is available.
TEST(Gone, NoRetryAfterAConnectFailureOnceTheClientHasDisconnected) {
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
  client.Send(LookRequest("a") + LookRequest("b"));
  ASSERT_TRUE(WaitUntilARequestIsPending(proxy));
  discovery.Push(ListJson(42, false, Members(MemberJson("s-2", other.address()))));
  Disconnect(Departure::kClose, client);
  EXPECT_TRUE(proxy.WaitUntilNoRequestIsPending());
  EXPECT_EQ(Client(proxy.address).Ask(LookRequest("newcomer")).result_int(), 200u);
  EXPECT_EQ(other.seen.Get().requests.size(), 1u);
}

// A client closes its connection while its first response is being streamed. Its second request must not be
// sent.
TEST(Gone, ARequestQueuedBehindAnAbandonedResponseIsNotSent) {
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
  client.Send(LookRequest("a") + LookRequest("b"));
  std::string received;  // everything is read, as the close would be a reset if bytes were left unread
  asio::read_until(client.socket, asio::dynamic_buffer(received), "\r\n\r\n");
  const std::size_t head = received.find("\r\n\r\n") + 4;
  asio::read(client.socket, asio::dynamic_buffer(received),
             asio::transfer_exactly(head + 70000 - received.size()));
  Disconnect(Departure::kClose, client);
  const auto until = std::chrono::steady_clock::now() + kGiveUp;
  while (proxy.Ask([](proxy::Proxy& p) { return p.client_connections(); }) > 0 &&
         std::chrono::steady_clock::now() < until)
    std::this_thread::yield();
  EXPECT_LT(std::chrono::steady_clock::now(), until) << "the close was not noticed";
  go_on.Do([](bool& g) { g = true; });
  EXPECT_TRUE(proxy.WaitUntilNoRequestIsPending());
  EXPECT_EQ(backend.seen.Get().requests.size(), 1u);
}

// Requests that are read ahead are each served once and in order.
TEST(Gone, RequestsReadAheadAreServedInOrder) {
  Backend backend([](Tcp::socket& s, const HttpRequest& r) {
    SendRaw(s, OkAnswer(std::string(r["Req-Id"])));
    return true;
  });
  FakeDiscovery discovery;
  RunningProxy proxy(ConfigJson(discovery.address(), Members(MemberJson("s-1", backend.address()))));
  Client client(proxy.address);
  std::thread sender([&] { client.Send(ManyLookRequests()); });
  for (int i = 0; i < 400; ++i) {
    const HttpResponse answer = client.Read();
    ASSERT_EQ(answer.result_int(), 200u) << i;
    ASSERT_EQ(answer.body(), NumberedId(i));
  }
  sender.join();
  EXPECT_EQ(backend.seen.Get().requests.size(), 400u);
}

}  // namespace
}  // namespace load_balancer::testing
