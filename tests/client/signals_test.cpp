// SPDX-License-Identifier: Apache-2.0
//
// Signals that arrive during a request, together with another signal, or during a start.
#include <gtest/gtest.h>
#include <signal.h>

#include <fstream>

#include "fleet/harness.h"
#include "leased_port.h"
#include "loopback.h"
#include "program_paths.h"

namespace load_balancer::testing {
namespace {

using fleet::Folder;
using fleet::Process;

// Program runs the proxy program on its own address, with its configuration in a file.
class Program {
 public:
  explicit Program(const nlohmann::json& config) {
    Write(config);
    Start();
  }
  void Write(const nlohmann::json& config) const { std::ofstream(path_) << config.dump(); }
  void Start() {
    process = std::make_unique<Process>(
        load_balancer::testing::kProxyPath, std::vector<std::string>{},
        std::map<std::string, std::string>{{"ROUTER_CONFIG", path_},
                                           {"ROUTER_LISTEN", "127.0.0.1:" + std::to_string(port_.port())}});
  }
  Tcp::endpoint address() const { return port_.tcp(); }
  bool WaitUntilReady() const {
    const auto until = std::chrono::steady_clock::now() + kGiveUp;
    while (std::chrono::steady_clock::now() < until) {
      try {
        if (Client(address()).Ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").result_int() == 200) return true;
      } catch (const std::exception&) {  // the proxy does not listen yet
      }
      std::this_thread::yield();
    }
    return false;
  }

 private:
  const LeasedPort port_;
  const Folder folder_;
  const std::string path_ = folder_.path / "config.json";

 public:
  std::unique_ptr<Process> process;
};

// ---- two signals at once --------------------------------------------------------------------------
TEST(Signals, AReloadAndAStopPendingTogetherAreBothHandled) {
  Watched<bool> release;
  Backend backend([&](Tcp::socket& s, const HttpRequest&) {
    release.WaitFor([](bool r) { return r; });
    SendRaw(s, OkAnswer("served"));
    return true;
  });
  FakeDiscovery before, after;
  const auto known = Members(MemberJson("s-1", backend.address()));
  const Program program(ConfigJson(before.address(), known));
  ASSERT_TRUE(program.WaitUntilReady());
  Client client(program.address());
  client.Send(Look());
  ASSERT_TRUE(backend.WaitForRequests(1));
  program.Write(ConfigJson(after.address(), known));
  // The stopped process receives both signals when it continues.
  for (const int signal : {SIGSTOP, SIGTERM, SIGHUP, SIGCONT}) program.process->Signal(signal);
  EXPECT_TRUE(after.WaitForWatches(1));
  release.Do([](bool& r) { r = true; });
  EXPECT_EQ(client.Read().result_int(), 200u);
  EXPECT_EQ(program.process->Reap(), 0);
}

// The same case as in the previous test, but here the test determines the order of the two signals.
TEST(Signals, AReloadIsAppliedBeforeOrAfterAStop) {
  for (const bool reload_first : {true, false}) {
    Watched<bool> release;
    Backend backend([&](Tcp::socket& s, const HttpRequest&) {
      release.WaitFor([](bool r) { return r; });
      SendRaw(s, OkAnswer("served"));
      return true;
    });
    FakeDiscovery before, after;
    const auto known = Members(MemberJson("s-1", backend.address()));
    RunningProxy proxy(ConfigJson(before.address(), known));
    Client client(proxy.address);
    client.Send(Look());
    ASSERT_TRUE(backend.WaitForRequests(1));
    const auto stopped = std::make_shared<std::promise<void>>();
    proxy.Ask([&](proxy::Proxy& p) {
      const auto reload = [&] { p.Reconfigure(ConfigOf(ConfigJson(after.address(), known))); };
      if (reload_first) reload();
      p.Stop([stopped] { stopped->set_value(); });
      if (!reload_first) reload();
      return 0;
    });
    EXPECT_TRUE(after.WaitForWatches(1));
    release.Do([](bool& r) { r = true; });
    EXPECT_EQ(client.Read().result_int(), 200u);
    EXPECT_EQ(stopped->get_future().wait_for(kGiveUp), std::future_status::ready);
  }
}

// ---- killed -------------------------------------------------------------------------------------------
// When the process is killed, some connections have pending requests and others are still in the accept
// queue. All of them must end, no request of a queued connection may be sent, and the next process must serve
// on the same address at once.
TEST(Signals, AKilledProxyRestartsOnTheSameAddress) {
  Watched<bool> release;
  Backend backend([&](Tcp::socket& s, const HttpRequest& r) {
    if (r["Req-Kind"] == "book") release.WaitFor([](bool r) { return r; });
    SendRaw(s, OkAnswer("served"));
    return true;
  });
  FakeDiscovery discovery;
  Program program(ConfigJson(discovery.address(), Members(MemberJson("s-1", backend.address()))));
  ASSERT_TRUE(program.WaitUntilReady());
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < 5; ++i) {
    clients.push_back(std::make_unique<Client>(program.address()));
    clients.back()->Send(BookWithId(std::string("b").append(std::to_string(i))));
  }
  ASSERT_TRUE(backend.WaitForRequests(1));
  program.process->Signal(SIGSTOP);
  for (int i = 0; i < 5; ++i) {
    clients.push_back(std::make_unique<Client>(program.address()));  // accepted by the operating system only
    clients.back()->Send(Look());
  }
  program.process->Signal(SIGKILL);
  EXPECT_EQ(program.process->Reap(), 1000 + SIGKILL);
  for (const auto& client : clients)
    EXPECT_EQ(client->Read().result_int(), 0u) << "the connection ends without a response";
  for (const HttpRequest& request : backend.seen.Get().requests) EXPECT_EQ(request["Req-Kind"], "book");
  program.Start();
  ASSERT_TRUE(program.WaitUntilReady());
  EXPECT_EQ(Client(program.address()).Ask(Look()).result_int(), 200u);
  release.Do([](bool& r) { r = true; });
}

// ---- persistent connections during a stop ----------------------------------------------------------------
TEST(Signals, DuringAStopEachRequestIsAnsweredWhileItsConnectionIsOpen) {
  Backend backend;
  FakeDiscovery discovery;
  const Program program(ConfigJson(discovery.address(), Members(MemberJson("s-1", backend.address()))));
  ASSERT_TRUE(program.WaitUntilReady());
  Watched<int> started, without_answer;
  std::vector<std::thread> clients;
  for (int i = 0; i < 8; ++i) {
    clients.emplace_back([&] {
      Client client(program.address());
      for (bool first = true;; first = false) {
        const HttpResponse answer = client.Ask(Look());
        const bool missing = answer.result_int() == 0u;
        if (missing) without_answer.Do([](int& n) { ++n; });
        if (first) started.Do([](int& n) { ++n; });
        if (missing || !answer.keep_alive()) break;
      }
      EXPECT_TRUE(client.Ended());
    });
  }
  EXPECT_TRUE(started.WaitFor([](int n) { return n == 8; }));
  program.process->Signal(SIGTERM);
  for (std::thread& client : clients) client.join();
  EXPECT_EQ(without_answer.Get(), 0);
  EXPECT_EQ(program.process->Reap(), 0);
}

// ---- descriptors --------------------------------------------------------------------------------------
// Idle clients take all descriptors that they can get. The proxy must still follow the list of servers,
// connect to servers and serve new clients.
TEST(Descriptors, IdleClientsLeaveDescriptorsForDiscoveryAndServers) {
  Backend one("one"), two("two");
  FakeDiscovery discovery;
  constexpr int kDescriptors = 128;
  auto config = ConfigJson(discovery.address(), Members(MemberJson("s-1", one.address())));
  config["limits"]["sockets"] = kDescriptors;
  const Folder folder;
  const std::string path = folder.path / "config.json";
  std::ofstream(path) << config.dump();
  const LeasedPort port;
  Process process("/bin/sh",
                  {"-c", "ulimit -n " + std::to_string(kDescriptors) + " && exec \"$0\"",
                   load_balancer::testing::kProxyPath},
                  {{"ROUTER_CONFIG", path}, {"ROUTER_LISTEN", "127.0.0.1:" + std::to_string(port.port())}});
  ASSERT_TRUE(discovery.WaitForWatches(1));
  const auto until = std::chrono::steady_clock::now() + kGiveUp;
  const auto connect = [&]() -> std::unique_ptr<Client> {
    for (;;) {
      try {
        return std::make_unique<Client>(port.tcp());
      } catch (const std::exception&) {  // the proxy does not listen yet
        if (std::chrono::steady_clock::now() > until) return nullptr;
        std::this_thread::yield();
      }
    }
  };
  std::vector<std::unique_ptr<Client>> idle;
  for (int i = 0; i < 2 * kDescriptors; ++i) {
    idle.push_back(connect());
    ASSERT_TRUE(idle.back());
    // Every third client sends nothing.
    if (i % 3 != 0) {
      ASSERT_EQ(idle.back()->Ask(Look()).body(), "one") << i;
    }
  }
  discovery.EndWatch();
  ASSERT_TRUE(discovery.WaitForWatches(2)) << "the watch was not opened again";
  discovery.Push(ListJson(42, true, Members(MemberJson("s-2", two.address()))));
  ASSERT_TRUE(one.WaitForClosed(1)) << "the new list was not applied";
  for (int i = 0; i < 20; ++i) {
    const auto newcomer = connect();
    ASSERT_TRUE(newcomer);
    EXPECT_EQ(newcomer->Ask(Look()).body(), "two") << i;
  }
}

}  // namespace
}  // namespace load_balancer::testing
