// SPDX-License-Identifier: Apache-2.0
//
// Connections that the proxy ends by itself, and bytes that cross the end. The test runs the event loop step
// by step, so that it decides what comes between two of them.
#include <gtest/gtest.h>
#include <sys/socket.h>

#include "loopback.h"

namespace load_balancer::testing {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kPlaces = 14;  // of clients, where there are 64 descriptors

nlohmann::json CrowdConfig(const Tcp::endpoint& backend) {
  auto config = ConfigJson(Tcp::endpoint(kAnyPort.address(), 9), Members(MemberJson("s-1", backend)));
  config["limits"]["sockets"] = 64;
  return config;
}

// A proxy whose event loop goes on only within a call of this.
class SteppedProxy {
 public:
  explicit SteppedProxy(const nlohmann::json& config) : proxy(io_, ConfigOf(config)) {}

  // One handler at a time until this holds; false if it never does.
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
  // All that comes until the client's side of the connection is over; empty `failed`: by a clean end.
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
  // Fills all places, the first one's client at the front, and has one more come; returns once that has its
  // place.
  bool Crowd(std::vector<std::unique_ptr<Client>>& clients) {
    while (clients.size() < kPlaces) {
      clients.push_back(std::make_unique<Client>(proxy.address()));
      if (Ask(*clients.back()) != 200) return false;
    }
    clients.push_back(std::make_unique<Client>(proxy.address()));
    return RunUntil([&] { return proxy.client_connections() > kPlaces; });
  }

 private:
  asio::io_context io_{1};

 public:
  proxy::Proxy proxy;
};

TEST(Resting, ARequestInTheTurnThatEndsItsConnectionIsServed) {
  Backend backend;
  SteppedProxy stepped(CrowdConfig(backend.address()));
  std::vector<std::unique_ptr<Client>> clients;
  ASSERT_TRUE(stepped.Crowd(clients)) << "the newcomer's place is taken without another look";
  EXPECT_EQ(stepped.Ask(*clients.front()), 200u);
  EXPECT_EQ(stepped.Ask(*clients.back()), 200u);
}

TEST(Resting, ARequestBehindTheEndIsNotSentOnAndItsClientSeesACleanEnd) {
  Backend backend;
  SteppedProxy stepped(CrowdConfig(backend.address()));
  std::vector<std::unique_ptr<Client>> clients;
  ASSERT_TRUE(stepped.Crowd(clients));
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
  EXPECT_EQ(stepped.Ask(*clients.back()), 200u);  // the loop has had its turns
  first.Send(Look());
  EXPECT_EQ(stepped.Ask(*clients.back()), 200u);
  first.socket.read_some(asio::buffer(&byte, 1), failed);
  EXPECT_EQ(failed, asio::error::eof);
  int error = 0;
  socklen_t size = sizeof error;
  ASSERT_EQ(::getsockopt(first.socket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size), 0);
  EXPECT_EQ(error, 0) << "a reset";
  EXPECT_EQ(backend.seen.Get().requests.size(), kPlaces + 2);
}

// Its client has read none of it yet, and its next request crosses the end.
TEST(Resting, AnAnswerThatWasNotReadYetOutlivesTheEnd) {
  const std::string large(400 * 1000, 'x');
  Backend backend([&](Tcp::socket& s, const HttpRequest& r) {
    SendRaw(s, OkAnswer(r.target() == "/look/large" ? large : "small"));
    return true;
  });
  SteppedProxy stepped(CrowdConfig(backend.address()));
  std::vector<std::unique_ptr<Client>> clients;
  clients.push_back(std::make_unique<Client>(stepped.proxy.address()));
  Client& slow = *clients.front();
  slow.Send("GET /look/large HTTP/1.1\r\nHost: x\r\nReq-Id: 0a\r\n\r\n");
  ASSERT_TRUE(stepped.RunUntil([&] { return stepped.proxy.held() == 0 && slow.socket.available() > 0; }));
  ASSERT_TRUE(stepped.Crowd(clients));
  error_code failed;
  ASSERT_TRUE(stepped.RunUntil([&, turns = 0]() mutable { return ++turns > 50; }));
  slow.Send(Look());
  const std::string all = stepped.ReadToEnd(slow, &failed);
  EXPECT_FALSE(failed) << failed.message();
  EXPECT_GE(all.size(), large.size());
}

// None of them closes its side: each newcomer still gets its place at once, and the descriptors stay bounded.
TEST(Resting, ClientsThatDoNotMindTheEndKeepNobodyOut) {
  Backend backend;
  SteppedProxy stepped(CrowdConfig(backend.address()));
  std::vector<std::unique_ptr<Client>> clients;
  for (std::size_t i = 0; i < 5 * kPlaces; ++i) {
    clients.push_back(std::make_unique<Client>(stepped.proxy.address()));
    ASSERT_EQ(stepped.Ask(*clients.back()), 200u) << i;
    ASSERT_LE(stepped.proxy.client_connections(), kPlaces + 8);
  }
}

}  // namespace
}  // namespace load_balancer::testing
