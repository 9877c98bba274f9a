// SPDX-License-Identifier: Apache-2.0
//
// The program with the least memory that a deployment may give it, and clients that read nothing. Not part of
// the sanitizer build, whose processes take several times the memory. MEMORY_MB and MEMORY_CLIENTS replace
// the memory of the settings and the number of clients.
#ifndef LOAD_BALANCER_TESTS_MEMORY_MEMORY_FIXTURE_H_
#define LOAD_BALANCER_TESTS_MEMORY_MEMORY_FIXTURE_H_

#include <gtest/gtest.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "fleet/harness.h"
#include "leased_port.h"
#include "loopback.h"
#include "memory/process_memory.h"
#include "program_paths.h"

namespace load_balancer::testing {

inline constexpr int kSockets = 1024;
inline constexpr int kSmallReceiveBuffer = 4096;  // bytes
inline constexpr std::chrono::milliseconds kSettle{
    1500};  // until the proxy has read what the clients have sent

inline int FromEnvironment(const char* name, int otherwise) {
  const char* const text = std::getenv(name);
  return text ? std::atoi(text) : otherwise;
}
inline int MemoryMb() { return FromEnvironment("MEMORY_MB", 32); }
inline int ClientCount() { return FromEnvironment("MEMORY_CLIENTS", 450); }

// One process of the program, or two during an upgrade, with the least memory, and clients that never read.
class Memory : public ::testing::Test {
 protected:
  // Starts a process in front of a server that answers in this way.
  void Start(Backend::Answer answer) {
    backend = std::make_unique<Backend>(std::move(answer));
    config = ConfigWith(config);
    config["limits"] = {{"cores", 1.0}, {"memory_mb", MemoryMb()}, {"sockets", kSockets}};
    config["listen"] = "127.0.0.1:" + std::to_string(port.tcp().port());
    std::ofstream(folder.path / "config.json") << config.dump();
    first = StartProcess();
    ASSERT_TRUE(WaitUntilServed());
  }
  // Returns the configuration of the test, with its own keys in `changes`.
  nlohmann::json ConfigWith(const nlohmann::json& changes) {
    auto all = ConfigJson(discovery.address(), Members(MemberJson("s-1", backend->address())));
    if (changes.is_object()) all.update(changes);
    return all;
  }
  std::unique_ptr<fleet::Process> StartProcess(const LeasedPort& operators_port = LeasedPort()) {
    return std::make_unique<fleet::Process>(
        kProxyPath, std::vector<std::string>{},
        std::map<std::string, std::string>{
            {"ROUTER_CONFIG", folder.path / "config.json"},
            {"ROUTER_OPS", "127.0.0.1:" + std::to_string(operators_port.tcp().port())},
            {"TMPDIR", folder.path}});
  }
  bool WaitUntilServed() {
    const auto until = std::chrono::steady_clock::now() + kGiveUp;
    while (std::chrono::steady_clock::now() < until) {
      try {
        if (Client(port.tcp()).Ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").result_int() == 200) return true;
      } catch (const std::exception&) {
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return false;
  }
  // Connects clients that send `bytes` and read nothing.
  void ConnectClients(const std::string& bytes, int count = ClientCount()) {
    ConnectClients([&bytes] { return bytes; }, count);
  }
  // Connects clients that send what `request` returns, and read nothing.
  void ConnectClients(const std::function<std::string()>& request, int count = ClientCount()) {
    for (int i = 0; i < count; ++i) {
      clients.push_back(std::make_unique<Client>(port.tcp(), kSmallReceiveBuffer));
      clients.back()->Send(request());
    }
  }
  void ExpectMemoryKept() {
    std::this_thread::sleep_for(kSettle);
    const double most_mb = StatusMb(first->pid(), "VmHWM");
    std::printf("most memory: %.1f MB\n", most_mb);
    EXPECT_LE(most_mb, MemoryMb());
    EXPECT_GT(StatusMb(first->pid(), "VmRSS"), 0) << "the process has ended";
    clients.clear();
    EXPECT_TRUE(WaitUntilServed());
  }

  FakeDiscovery discovery;
  const LeasedPort port, fleet_port;
  const fleet::Folder folder;
  nlohmann::json config;
  std::unique_ptr<Backend> backend;
  std::unique_ptr<fleet::Process> first;
  std::vector<std::unique_ptr<Client>> clients;
};

inline bool AnswerNothing(Tcp::socket&, const HttpRequest&) { return true; }
inline Backend::Answer AnswerWith(const std::string& bytes) {
  return [bytes](Tcp::socket& socket, const HttpRequest&) {
    SendRaw(socket, bytes);
    return true;
  };
}

}  // namespace load_balancer::testing

#endif  // LOAD_BALANCER_TESTS_MEMORY_MEMORY_FIXTURE_H_
