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

  const std::string request = Book();
  Backend backend{[](Tcp::socket& socket, const HttpRequest&) {
    std::this_thread::sleep_for(kServerTime);
    SendRaw(socket, OkAnswer("served"));
    return true;
  }};
  FakeDiscovery discovery;
};

TEST_F(RepeatedId, DoesNotRunAgainWhileItRunsForAClientThatHasLeft) {
  RunningProxy proxy(Config());
  SendAndLeave(proxy.address, request);
  EXPECT_EQ(Client(proxy.address).Ask(request).result_int(), 502u);
  EXPECT_EQ(Runs(), 1u);
}

TEST_F(RepeatedId, DoesNotRunAgainOnceItHasRunForAClientThatHasLeft) {
  RunningProxy proxy(Config());
  SendAndLeave(proxy.address, request);
  std::this_thread::sleep_for(kServerTime * 3 / 2);
  EXPECT_EQ(Client(proxy.address).Ask(request).result_int(), 502u);
  EXPECT_EQ(Client(proxy.address).Ask(request).result_int(), 502u);
  EXPECT_EQ(Runs(), 1u);
}

TEST_F(RepeatedId, DoesNotRunAgainIfItsClientLeftWithoutReadingTheResponse) {
  RunningProxy proxy(Config());
  {
    Client client(proxy.address);
    client.Send(request);
    std::this_thread::sleep_for(kServerTime * 3 / 2);
    ASSERT_GT(client.socket.available(), 0u);
  }
  EXPECT_EQ(Client(proxy.address).Ask(request).result_int(), 502u);
  EXPECT_EQ(Runs(), 1u);
}

TEST_F(RepeatedId, DoesNotRunAgainBesideItsFirstClient) {
  RunningProxy proxy(Config());
  Client first(proxy.address);
  first.Send(request);
  ASSERT_TRUE(backend.WaitForRequests(1));
  EXPECT_EQ(Client(proxy.address).Ask(request).result_int(), 502u);
  EXPECT_EQ(first.Read().result_int(), 200u);
  EXPECT_EQ(Runs(), 1u);
}

TEST_F(RepeatedId, IsServedIfItHasNotRun) {
  Tcp::endpoint nowhere(kAnyPort.address(), 9);
  auto config = ConfigJson(discovery.address(), Members(MemberJson("s-1", nowhere)));
  RunningProxy proxy(config);
  EXPECT_EQ(Client(proxy.address).Ask(request).result_int(), 503u);
  discovery.Push(ListJson(42, true, Members(MemberJson("s-2", backend.address()))));
  HttpResponse response;
  const auto until = std::chrono::steady_clock::now() + kGiveUp;
  while (response.result_int() != 200 && std::chrono::steady_clock::now() < until)
    response = Client(proxy.address).Ask(request);
  EXPECT_EQ(response.result_int(), 200u);
}

TEST_F(RepeatedId, OfAnIdempotentRequestIsForwarded) {
  RunningProxy proxy(Config());
  SendAndLeave(proxy.address, Look());
  EXPECT_EQ(Client(proxy.address).Ask(Look()).result_int(), 200u);
}

// Two processes that follow each other, or serve side by side during an upgrade.
class RepeatedIdAtAnotherProcess : public RepeatedId {
 protected:
  RepeatedIdAtAnotherProcess() { std::ofstream(folder.path / "config.json") << Config().dump(); }

  // Starts a process and waits until it takes clients.
  std::unique_ptr<fleet::Process> Start(const LeasedPort& operators) {
    auto process = std::make_unique<fleet::Process>(
        kProxyPath, std::vector<std::string>{},
        std::map<std::string, std::string>{
            {"ROUTER_CONFIG", folder.path / "config.json"},
            {"ROUTER_LISTEN", "127.0.0.1:" + std::to_string(clients_port.tcp().port())},
            {"ROUTER_OPS", "127.0.0.1:" + std::to_string(operators.tcp().port())},
            {"TMPDIR", folder.path}});
    EXPECT_TRUE(WaitUntilServing(operators));
    return process;
  }
  // Waits until a process takes clients, or until it does not any more.
  static bool WaitUntilServing(const LeasedPort& operators, bool serving = true) {
    const auto until = std::chrono::steady_clock::now() + kGiveUp;
    for (; std::chrono::steady_clock::now() < until; std::this_thread::sleep_for(milliseconds(10))) {
      try {
        if ((CallOperators(operators.tcp(), "PING\n") == "ACK taking clients\n") == serving) return true;
      } catch (const std::exception&) {
      }
    }
    return false;
  }
  void ExpectNoSecondRun() {
    EXPECT_EQ(Client(clients_port.tcp()).Ask(request).result_int(), 502u);
    EXPECT_EQ(Runs(), 1u);
  }
  // Sends the request and waits until its response has come, which stays unread.
  void SendAndLeaveUnread(Client& client) {
    client.Send(request);
    const auto until = std::chrono::steady_clock::now() + kGiveUp;
    while (client.socket.available() == 0 && std::chrono::steady_clock::now() < until)
      std::this_thread::sleep_for(milliseconds(5));
    ASSERT_GT(client.socket.available(), 0u);
  }

  const LeasedPort clients_port, first_operators, second_operators;
  const fleet::Folder folder;
};

TEST_F(RepeatedIdAtAnotherProcess, DoesNotRunAgainOnceTheFirstProcessHasEnded) {
  const auto first = Start(first_operators);
  SendAndLeave(clients_port.tcp(), request);
  const auto second = Start(second_operators);
  first->Signal(SIGTERM);
  ASSERT_EQ(first->Reap(), 0);
  ExpectNoSecondRun();
}

// Guards against a second run where the first process has not noticed yet that its client has left.
TEST_F(RepeatedIdAtAnotherProcess, DoesNotRunAgainIfTheFirstProcessHasNotSeenItsClientLeave) {
  const auto first = Start(first_operators);
  auto client = std::make_unique<Client>(clients_port.tcp());
  ASSERT_NO_FATAL_FAILURE(SendAndLeaveUnread(*client));
  const auto second = Start(second_operators);
  first->Signal(SIGTERM);
  ASSERT_TRUE(WaitUntilServing(first_operators, false)) << "new connections go to the second process";
  first->Signal(SIGSTOP);
  client.reset();
  ExpectNoSecondRun();
  first->Signal(SIGCONT);
}

// Guards against a second run where the first process is killed before its client has read the response.
TEST_F(RepeatedIdAtAnotherProcess, DoesNotRunAgainIfTheFirstProcessIsKilledBeforeItsResponseIsRead) {
  const auto first = Start(first_operators);
  Client client(clients_port.tcp());
  ASSERT_NO_FATAL_FAILURE(SendAndLeaveUnread(client));
  first->Kill();
  const auto second = Start(second_operators);
  ExpectNoSecondRun();
}

}  // namespace
}  // namespace load_balancer::testing
