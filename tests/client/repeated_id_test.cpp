// SPDX-License-Identifier: Apache-2.0
//
// A request that must not run twice and comes again under its id, after its client has left.
#include <gtest/gtest.h>
#include <signal.h>

#include <chrono>
#include <fstream>
#include <string>
#include <thread>

#include "fleet/harness.h"
#include "leased_port.h"
#include "loopback.h"
#include "program_paths.h"

namespace load_balancer::testing {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kServerTime{400};

class RepeatedId : public ::testing::Test {
 protected:
  nlohmann::json Config() {
    return ConfigJson(discovery.address(), Members(MemberJson("s-1", backend.address())));
  }
  // Sends a request and leaves once the server has it.
  void SendAndLeave(const Tcp::endpoint& proxy, const std::string& request) {
    Client client(proxy);
    client.Send(request);
    ASSERT_TRUE(backend.WaitForRequests(1));
  }
  std::size_t Runs() { return backend.seen.Get().requests.size(); }

  Backend backend{[](Tcp::socket& socket, const HttpRequest&) {
    std::this_thread::sleep_for(kServerTime);
    SendRaw(socket, OkAnswer("served"));
    return true;
  }};
  FakeDiscovery discovery;
};

TEST_F(RepeatedId, DoesNotRunAgainWhileItRunsForAClientThatHasLeft) {
  RunningProxy proxy(Config());
  SendAndLeave(proxy.address, Book());
  EXPECT_EQ(Client(proxy.address).Ask(Book()).result_int(), 502u);
  EXPECT_EQ(Runs(), 1u);
}

TEST_F(RepeatedId, DoesNotRunAgainOnceItHasRunForAClientThatHasLeft) {
  RunningProxy proxy(Config());
  SendAndLeave(proxy.address, Book());
  std::this_thread::sleep_for(kServerTime * 3 / 2);
  EXPECT_EQ(Client(proxy.address).Ask(Book()).result_int(), 502u);
  EXPECT_EQ(Client(proxy.address).Ask(Book()).result_int(), 502u);
  EXPECT_EQ(Runs(), 1u);
}

TEST_F(RepeatedId, DoesNotRunAgainIfItsClientLeftWithoutReadingTheResponse) {
  RunningProxy proxy(Config());
  {
    Client client(proxy.address);
    client.Send(Book());
    std::this_thread::sleep_for(kServerTime * 3 / 2);
    ASSERT_GT(client.socket.available(), 0u);
  }
  EXPECT_EQ(Client(proxy.address).Ask(Book()).result_int(), 502u);
  EXPECT_EQ(Runs(), 1u);
}

TEST_F(RepeatedId, DoesNotRunAgainBesideItsFirstClient) {
  RunningProxy proxy(Config());
  Client first(proxy.address);
  first.Send(Book());
  ASSERT_TRUE(backend.WaitForRequests(1));
  EXPECT_EQ(Client(proxy.address).Ask(Book()).result_int(), 502u);
  EXPECT_EQ(first.Read().result_int(), 200u);
  EXPECT_EQ(Runs(), 1u);
}

TEST_F(RepeatedId, IsServedIfItHasNotRun) {
  Tcp::endpoint nowhere(kAnyPort.address(), 9);
  auto config = ConfigJson(discovery.address(), Members(MemberJson("s-1", nowhere)));
  RunningProxy proxy(config);
  EXPECT_EQ(Client(proxy.address).Ask(Book()).result_int(), 503u);
  discovery.Push(ListJson(42, true, Members(MemberJson("s-2", backend.address()))));
  HttpResponse response;
  const auto until = std::chrono::steady_clock::now() + kGiveUp;
  while (response.result_int() != 200 && std::chrono::steady_clock::now() < until)
    response = Client(proxy.address).Ask(Book());
  EXPECT_EQ(response.result_int(), 200u);
}

TEST_F(RepeatedId, OfAnIdempotentRequestIsForwarded) {
  RunningProxy proxy(Config());
  SendAndLeave(proxy.address, Look());
  EXPECT_EQ(Client(proxy.address).Ask(Look()).result_int(), 200u);
}

// Guards against a second run at the process that replaces the first one.
TEST_F(RepeatedId, DoesNotRunAgainAtTheOtherProcessOfAnUpgrade) {
  const LeasedPort clients_port, first_operators, second_operators;
  const fleet::Folder folder;
  const std::string config_path = folder.path / "config.json";
  std::ofstream(config_path) << Config().dump();
  const auto start = [&](const LeasedPort& operators) {
    return std::make_unique<fleet::Process>(
        kProxyPath, std::vector<std::string>{},
        std::map<std::string, std::string>{
            {"ROUTER_CONFIG", config_path},
            {"ROUTER_LISTEN", "127.0.0.1:" + std::to_string(clients_port.tcp().port())},
            {"ROUTER_OPS", "127.0.0.1:" + std::to_string(operators.tcp().port())},
            {"TMPDIR", folder.path}});
  };
  const auto wait_until_serving = [](const LeasedPort& operators) {
    const auto until = std::chrono::steady_clock::now() + kGiveUp;
    for (; std::chrono::steady_clock::now() < until; std::this_thread::sleep_for(milliseconds(10))) {
      try {
        if (CallOperators(operators.tcp(), "PING\n") == "ACK taking clients\n") return true;
      } catch (const std::exception&) {
      }
    }
    return false;
  };
  const auto first = start(first_operators);
  ASSERT_TRUE(wait_until_serving(first_operators));
  SendAndLeave(clients_port.tcp(), Book());
  const auto second = start(second_operators);
  ASSERT_TRUE(wait_until_serving(second_operators));
  first->Signal(SIGTERM);
  ASSERT_EQ(first->Reap(), 0);
  EXPECT_EQ(Client(clients_port.tcp()).Ask(Book()).result_int(), 502u);
  EXPECT_EQ(Runs(), 1u);
}

}  // namespace
}  // namespace load_balancer::testing
