// SPDX-License-Identifier: Apache-2.0
//
// Tests the process harness: it ends all processes that it starts, and it signals by process id.
#include "harness.h"

#include <gtest/gtest.h>

#include <cerrno>
#include <cstdlib>
#include <set>

#include "loopback.h"
#include "program_paths.h"

namespace load_balancer::testing::fleet {
namespace {

nlohmann::json Config() { return ConfigJson(Tcp::endpoint(kAnyPort.address(), 9), {}); }

// Returns whether a listener can bind the address.
bool IsFree(const Tcp::endpoint& address) {
  boost::asio::io_context io;
  boost::system::error_code failure;
  Tcp::acceptor acceptor(io);
  acceptor.open(address.protocol());
  acceptor.set_option(Tcp::acceptor::reuse_address(true));
  acceptor.bind(address, failure);
  return !failure;
}

TEST(Harness, LeavesNoProcessPortOrFolderBehind) {
  for (int round = 0; round < 20; ++round) {
    std::vector<pid_t> pids;
    std::vector<Tcp::endpoint> ports;
    std::vector<std::filesystem::path> folders;
    {
      Fleet fleet(load_balancer::testing::kProxyPath);
      for (int i = 0; i < 10; ++i) {
        Member& member = fleet[fleet.Start(Config())];
        pids.push_back(member.process->pid());
        ports.insert(ports.end(), {member.clients, member.operators});
        folders.push_back(member.folder->path);
      }
      EXPECT_EQ(std::set<Tcp::endpoint>(ports.begin(), ports.end()).size(), 20u) << "all ports must differ";
    }
    for (const pid_t pid : pids) {
      errno = 0;
      EXPECT_EQ(::kill(pid, 0), -1) << "process " << pid << " in round " << round;
      EXPECT_EQ(errno, ESRCH);
    }
    for (const auto& port : ports) EXPECT_TRUE(IsFree(port)) << port << " in round " << round;
    for (const auto& folder : folders) EXPECT_FALSE(std::filesystem::exists(folder)) << folder;
  }
}

TEST(Harness, SignalsOnlyTheGivenProcess) {
  Fleet fleet(load_balancer::testing::kProxyPath);
  fleet.Start(Config());
  fleet.Start(Config());
  fleet[0].process->Signal(SIGSTOP);
  fleet[0].process->Signal(SIGCONT);
  const std::string answer = Call(fleet[0].operators, "PING");
  EXPECT_TRUE(answer.starts_with("ACK") || answer.starts_with("NAK")) << answer;
  fleet[0].process->Signal(SIGKILL);
  EXPECT_EQ(fleet[0].process->Reap(), 1000 + SIGKILL);
  EXPECT_FALSE(fleet[0].process->running());
  fleet[1].process->Signal(SIGTERM);
  EXPECT_EQ(fleet[1].process->Reap(), 0);
}

TEST(Harness, WaitsForALogLineUntilATimeLimit) {
  Fleet fleet(load_balancer::testing::kProxyPath);
  Member& member = fleet[fleet.Start(Config())];
  EXPECT_TRUE(
      member.process->WaitFor("PROXY-1"));  // no process listens at port 9, so discovery is unreachable
  EXPECT_FALSE(member.process->WaitFor("no such event", 0, milliseconds(50)));
}

TEST(Harness, GivenVariablesReplaceThoseOfTheTestProcess) {
  ::setenv("FLEET_HARNESS_TEST", "inherited", 1);
  Process process("/usr/bin/printenv", {"FLEET_HARNESS_TEST"}, {{"FLEET_HARNESS_TEST", "given"}});
  EXPECT_EQ(process.LinesAtEnd(), std::vector<std::string>{"given"});
  EXPECT_EQ(process.Reap(), 0);
}

// 400 ports drawn at random from 20,000 without reservation would almost never all differ, so the test would
// fail.
TEST(LeasedPort, AllPortsInUseAreDistinct) {
  std::set<unsigned short> numbers;
  std::vector<LeasedPort> ports(400);
  for (const LeasedPort& port : ports) numbers.insert(port.port());
  EXPECT_EQ(numbers.size(), ports.size());
}

}  // namespace
}  // namespace load_balancer::testing::fleet
