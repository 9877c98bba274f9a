// SPDX-License-Identifier: Apache-2.0
//
// Idle connections that the proxy closes, and input that arrives at the same time. The test runs the event
// loop step by step, so that it determines what happens between two steps.
#include <gtest/gtest.h>
#include <sys/socket.h>

#include "loopback.h"

namespace load_balancer::testing {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kMaxClients = 14;  // the limit of client connections with 64 descriptors

nlohmann::json SmallConfig(const Tcp::endpoint& backend) {
  auto config = ConfigJson(Tcp::endpoint(kAnyPort.address(), 9), Members(MemberJson("s-1", backend)));
  config["limits"]["sockets"] = 64;
  return config;
}

// SteppedProxy is a proxy whose event loop runs only within calls of this class.
class SteppedProxy {
 public:
  explicit SteppedProxy(const nlohmann::json& config) : proxy(io_, ConfigOf(config)) {}

  // Runs one handler at a time until `test` returns true. Returns false if that does not happen in time.
  template <typename Test>
  bool RunUntil(Test test) {
    const auto until = Clock::now() + kGiveUp;
    while (!test()) {
      if (Clock::now() > until) return false;
      io_.restart();
      io_.poll_one();
    }
    return true;
  }
  unsigned Ask(Client& client, const std::string& request = Look()) {
    client.Send(request);
    if (!RunUntil([&] { return client.socket.available() > 0; })) return 0;
    return client.Read().result_int();
  }
  // Returns all bytes that the client receives until its connection ends. `*failed` is empty after a clean
  // close.
  std::string ReadToEnd(Client& client, error_code* failed) {
    std::string all;
    client.socket.non_blocking(true);
    RunUntil([&] {
      char piece[16384];
      const std::size_t n = client.socket.read_some(asio::buffer(piece), *failed);
      all.append(piece, n);
      return *failed && *failed != asio::error::would_block;
    });
    if (*failed == asio::error::eof) *failed = {};
    return all;
  }
  // Opens connections up to the limit and then one more. Each client but the last has had a response. Returns
  // whether the last connection was accepted.
  bool FillUpAndConnectOneMore(std::vector<std::unique_ptr<Client>>& clients) {
    while (clients.size() < kMaxClients) {
      clients.push_back(std::make_unique<Client>(proxy.address()));
      if (Ask(*clients.back()) != 200) return false;
    }
    clients.push_back(std::make_unique<Client>(proxy.address()));
    return RunUntil([&] { return proxy.client_connections() > kMaxClients; });
  }

 private:
  asio::io_context io_{1};

 public:
  proxy::Proxy proxy;
};

TEST(IdleConnection, ARequestThatArrivesAsItsConnectionIsEvictedIsServed) {
  Backend backend;
  SteppedProxy stepped(SmallConfig(backend.address()));
  std::vector<std::unique_ptr<Client>> clients;
  ASSERT_TRUE(stepped.FillUpAndConnectOneMore(clients)) << "the new connection was not accepted";
  EXPECT_EQ(stepped.Ask(*clients.front()), 200u);
  EXPECT_EQ(stepped.Ask(*clients.back()), 200u);
}

TEST(IdleConnection, ARequestSentAfterTheCloseIsDroppedAndTheClientSeesACleanClose) {
  Backend backend;
  SteppedProxy stepped(SmallConfig(backend.address()));
  std::vector<std::unique_ptr<Client>> clients;
  ASSERT_TRUE(stepped.FillUpAndConnectOneMore(clients));
  Client& first = *clients.front();
  first.socket.non_blocking(true);
  char byte;
  error_code failed;
  ASSERT_TRUE(stepped.RunUntil([&] {
    first.socket.read_some(asio::buffer(&byte, 1), failed);
    return failed == asio::error::eof;
  })) << failed.message();
  first.socket.non_blocking(false);
  first.Send(Look());
  EXPECT_EQ(stepped.Ask(*clients.back()), 200u);  // runs the event loop
  first.Send(Look());
  EXPECT_EQ(stepped.Ask(*clients.back()), 200u);
  first.socket.read_some(asio::buffer(&byte, 1), failed);
  EXPECT_EQ(failed, asio::error::eof);
  int error = 0;
  socklen_t size = sizeof error;
  ASSERT_EQ(::getsockopt(first.socket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size), 0);
  EXPECT_EQ(error, 0) << "the client saw a reset";
  EXPECT_EQ(backend.seen.Get().requests.size(), kMaxClients + 2);
}

// The client has not read the response when its next request crosses the close of the connection.
TEST(IdleConnection, AnUnreadResponseIsNotLostWhenTheConnectionCloses) {
  const std::string large(200 * 1000, 'x');  // fits into the buffers of the system
  Backend backend([&](Tcp::socket& s, const HttpRequest& r) {
    SendRaw(s, OkAnswer(r.target() == "/look/large" ? large : "small"));
    return true;
  });
  SteppedProxy stepped(SmallConfig(backend.address()));
  std::vector<std::unique_ptr<Client>> clients;
  clients.push_back(std::make_unique<Client>(stepped.proxy.address()));
  Client& slow = *clients.front();
  slow.Send("GET /look/large HTTP/1.1\r\nHost: x\r\nReq-Id: 0a\r\n\r\n");
  ASSERT_TRUE(stepped.RunUntil([&] { return stepped.proxy.held() == 0 && slow.socket.available() > 0; }));
  ASSERT_TRUE(stepped.FillUpAndConnectOneMore(clients));
  error_code failed;
  ASSERT_TRUE(stepped.RunUntil([&, turns = 0]() mutable { return ++turns > 50; }));
  slow.Send(Look());
  const std::string all = stepped.ReadToEnd(slow, &failed);
  EXPECT_FALSE(failed) << failed.message();
  EXPECT_GE(all.size(), large.size());
}

// No evicted client closes its side. New clients must still be accepted at once, with a bounded number of
// descriptors.
TEST(IdleConnection, EvictedClientsThatDoNotCloseDoNotBlockNewClients) {
  Backend backend;
  SteppedProxy stepped(SmallConfig(backend.address()));
  std::vector<std::unique_ptr<Client>> clients;
  for (std::size_t i = 0; i < 5 * kMaxClients; ++i) {
    clients.push_back(std::make_unique<Client>(stepped.proxy.address()));
    ASSERT_EQ(stepped.Ask(*clients.back()), 200u) << i;
    ASSERT_LE(stepped.proxy.client_connections(), kMaxClients + 8);
  }
}

}  // namespace
}  // namespace load_balancer::testing
