// SPDX-License-Identifier: Apache-2.0
//
// The program as it is started: its configuration, its signals, its limits.
#include <gtest/gtest.h>
#include <signal.h>

#include <filesystem>
#include <fstream>
#include <map>

#include "fleet/harness.h"
#include "leased_port.h"
#include "loopback.h"
#include "program_paths.h"

namespace load_balancer::testing {
namespace {

using Env = std::map<std::string, std::string>;
using fleet::Folder;
using fleet::Process;

// The program with no arguments, allowed so many descriptors.
std::unique_ptr<Process> StartWithin(int descriptors, const Env& env) {
  const std::string limited = "ulimit -n " + std::to_string(descriptors) + " && exec \"$0\"";
  return std::make_unique<Process>(
      "/bin/sh", std::vector<std::string>{"-c", limited, load_balancer::testing::kProxyPath}, env);
}

struct ConfigFile {
  explicit ConfigFile(const std::string& text) { Write(text); }
  void Write(const std::string& text) const { std::ofstream(path) << text; }

  const Folder folder;
  const std::string path = folder.path / "config.json";
};

void ExpectComplaint(const Env& env, const std::string& part) {
  Process process(load_balancer::testing::kProxyPath, {}, env);
  const std::vector<std::string> lines = process.LinesAtEnd();
  EXPECT_EQ(process.Reap(), 1) << part;
  ASSERT_EQ(lines.size(), 1u) << part;
  EXPECT_NE(lines[0].find(part), std::string::npos) << lines[0];
}

TEST(Process, BadOrMissingConfigurationIsOneLineAndAnExit) {
  ExpectComplaint({}, "ROUTER_CONFIG");
  ExpectComplaint({{"ROUTER_CONFIG", "/nowhere/at/all"}}, "/nowhere/at/all");
  const auto with = [](const std::string& text, const std::string& part) {
    const ConfigFile file(text);
    ExpectComplaint({{"ROUTER_CONFIG", file.path}}, part);
  };
  with("", "JSON");
  with("{", "JSON");
  with("[1]", "JSON");
  const auto good = ConfigJson(Tcp::endpoint(kAnyPort.address(), 9), {});
  const auto changed = [&](const char* path, const nlohmann::json& value) {
    auto json = good;
    json[nlohmann::json::json_pointer(path)] = value;
    return json.dump();
  };
  with(changed("/listen", "here"), "listen");
  with(changed("/discovery", 5), "discovery is no string");
  with(changed("/seed", "xyz"), "seed");
  with(changed("/settings", nullptr), "settings is no object");
  with(changed("/settings/balancers", "many"), "balancers");
  with(changed("/settings/classes/0/effect", "odd"), "effect");
  with(changed("/settings/permissions/connIdleMs", -1), "connIdleMs");
  with(changed("/known", 7), "known");
  with(changed("/limits/sockets", 3), "sockets");
}

TEST(Process, ChecksAConfigurationWholeWithoutStarting) {
  auto config = ConfigJson(Tcp::endpoint(kAnyPort.address(), 9), {});
  const ConfigFile good(config.dump());
  config["fleet"] = {{"bind", "127.0.0.1:x"}, {"probe_interval_ms", 0}, {"extra", 1}};
  const ConfigFile bad(config.dump());
  EXPECT_EQ(Process(load_balancer::testing::kProxyPath, {"--config", good.path, "--check-config"}, {}).Reap(),
            0);
  EXPECT_EQ(Process(load_balancer::testing::kProxyPath, {"--check-config", "--config", bad.path}, {}).Reap(),
            1);
  Process json_logs(load_balancer::testing::kProxyPath, {"--log-format", "json"},
                    {{"ROUTER_CONFIG", bad.path}});
  const auto lines = json_logs.LinesAtEnd();
  EXPECT_EQ(json_logs.Reap(), 1);
  const std::vector<std::string> faults{"fleet.extra is no known key", "fleet.bind is no host:port",
                                        "fleet.probe_interval_ms is out of range"};
  ASSERT_EQ(lines.size(), faults.size());
  for (std::size_t i = 0; i < lines.size(); ++i) {
    const auto parsed = nlohmann::json::parse(lines[i], nullptr, false);
    ASSERT_TRUE(parsed.is_object()) << lines[i];
    EXPECT_EQ(parsed["level"], "error");
    EXPECT_NE(parsed["event"].get<std::string>().find(faults[i]), std::string::npos) << lines[i];
  }
  EXPECT_NE(Process(load_balancer::testing::kProxyPath, {"--log-format", "xml"}, {}).Reap(), 0);
}

unsigned ReadyStatus(const Tcp::endpoint& address) {
  try {
    Client client(address);
    return client.Ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").result_int();
  } catch (const std::exception&) {
    return 0;
  }
}
bool WaitUntilReady(const Tcp::endpoint& address) {
  const auto until = std::chrono::steady_clock::now() + kGiveUp;
  while (ReadyStatus(address) != 200) {
    if (std::chrono::steady_clock::now() > until) return false;
    std::this_thread::yield();
  }
  return true;
}

TEST(Process, EndsWellAtSigtermAndStartsAgainOnTheSameAddress) {
  Backend backend;
  FakeDiscovery discovery;
  const ConfigFile file(
      ConfigJson(discovery.address(), Members(MemberJson("s-1", backend.address()))).dump());
  const LeasedPort port;
  const auto address = port.tcp();
  const Env env{{"ROUTER_CONFIG", file.path},
                {"ROUTER_LISTEN", "127.0.0.1:" + std::to_string(address.port())}};
  for (const int signal : {SIGTERM, SIGKILL, SIGTERM}) {
    Process process(load_balancer::testing::kProxyPath, {}, env);
    ASSERT_TRUE(WaitUntilReady(address));
    Client client(address);
    EXPECT_EQ(client.Ask(Look()).result_int(), 200u);
    process.Signal(signal);
    if (signal == SIGTERM) {
      EXPECT_EQ(client.Ask(Look()).result_int(), 200u);
    }
    EXPECT_EQ(process.Reap(), signal == SIGTERM ? 0 : 1000 + SIGKILL);
  }
}

// The environment still names the old address, as the platform's own variable does.
TEST(Process, FollowsDiscoveryAtSighupAndOutlivesAFileThatItCannotRead) {
  Backend backend, moved("moved");
  FakeDiscovery before, after;
  const auto config = [&](const Tcp::endpoint& discovery) {
    return ConfigJson(discovery, Members(MemberJson("s-1", backend.address()))).dump();
  };
  const ConfigFile file(config(before.address()));
  const LeasedPort port;
  const auto address = port.tcp();
  Process process(load_balancer::testing::kProxyPath, {},
                  {{"ROUTER_CONFIG", file.path},
                   {"ROUTER_LISTEN", "127.0.0.1:" + std::to_string(address.port())},
                   {"ROUTER_DISCOVERY", "127.0.0.1:" + std::to_string(before.address().port())}});
  ASSERT_TRUE(WaitUntilReady(address));
  ASSERT_TRUE(before.WaitForWatches(1));
  file.Write("{\"discovery\":");
  process.Signal(SIGHUP);
  const auto found = process.WaitFor("not reloaded");
  ASSERT_TRUE(found);
  const std::string& line = found->second;
  EXPECT_NE(line.find(" error n1 config: CONFIG-1 "), std::string::npos) << line;
  EXPECT_NE(
      line.find(": not reloaded: the configuration is no JSON object: it breaks off or is garbled at line 1, "
                "column 14; "),
      std::string::npos)
      << line;
  file.Write(config(after.address()));
  process.Signal(SIGHUP);
  ASSERT_TRUE(after.WaitForWatches(1));
  after.Push(ListJson(42, true, Members(MemberJson("s-2", moved.address()))));
  Client client(address);
  const auto until = std::chrono::steady_clock::now() + kGiveUp;
  std::string body;  // of a young proxy: now and then a refusal
  while (body != "moved" && std::chrono::steady_clock::now() < until) body = client.Ask(Look()).body();
  EXPECT_EQ(body, "moved");
  EXPECT_EQ(before.seen.Get().watches.size(), 1u) << "the old address is left alone";
  process.Signal(SIGTERM);
  EXPECT_EQ(process.Reap(), 0);
}

TEST(Process, OutlivesRunningOutOfDescriptors) {
  Backend backend;
  FakeDiscovery discovery;
  const ConfigFile file(
      ConfigJson(discovery.address(), Members(MemberJson("s-1", backend.address()))).dump());
  const LeasedPort port;
  const auto address = port.tcp();
  const auto process = StartWithin(
      24, {{"ROUTER_CONFIG", file.path}, {"ROUTER_LISTEN", "127.0.0.1:" + std::to_string(address.port())}});
  ASSERT_TRUE(WaitUntilReady(address));
  {
    std::vector<std::unique_ptr<Client>> many;
    for (int i = 0; i < 100; ++i) many.push_back(std::make_unique<Client>(address));
    EXPECT_EQ(many.back()->Ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").result_int(), 200u);
  }
  Client client(address);
  EXPECT_EQ(client.Ask(Look()).result_int(), 200u);
  process->Signal(SIGTERM);
  EXPECT_EQ(process->Reap(), 0);
}

TEST(Process, AnswersOperatorsWithItsDescriptorsUsedUpByClients) {
  Backend backend;
  FakeDiscovery discovery;
  const LeasedPort clients_port, operators_port;
  const auto address = clients_port.tcp(), operators = operators_port.tcp();
  auto config = ConfigJson(discovery.address(), Members(MemberJson("s-1", backend.address())));
  config["ops"] = "127.0.0.1:9";  // the environment goes before it
  const ConfigFile file(config.dump());
  const auto process = StartWithin(48, {{"ROUTER_CONFIG", file.path},
                                        {"ROUTER_LISTEN", "127.0.0.1:" + std::to_string(address.port())},
                                        {"ROUTER_OPS", "127.0.0.1:" + std::to_string(operators.port())}});
  ASSERT_TRUE(WaitUntilReady(address));
  std::vector<std::unique_ptr<Client>> many;
  for (int i = 0; i < 100; ++i) {
    many.push_back(std::make_unique<Client>(address));
    many.back()->Send("GET /look");
  }
  for (int i = 0; i < 40; ++i) EXPECT_EQ(CallOperators(operators, "PING\n"), "ACK taking clients\n");
  process->Signal(SIGTERM);
  EXPECT_EQ(process->Reap(), 0);
}

// ---- upgrade ------------------------------------------------------------------------------------------
// A proxy that may run twice, each process with an operators' address of its own.
struct Upgrade {
  Upgrade() { config["ops"] = "127.0.0.1:9"; }
  std::unique_ptr<Process> Start(const Tcp::endpoint& operators) {
    if (!file) file = std::make_unique<ConfigFile>(config.dump());
    return std::make_unique<Process>(load_balancer::testing::kProxyPath, std::vector<std::string>{},
                                     Env{{"ROUTER_CONFIG", file->path},
                                         {"ROUTER_LISTEN", "127.0.0.1:" + std::to_string(address.port())},
                                         {"ROUTER_OPS", "127.0.0.1:" + std::to_string(operators.port())},
                                         {"TMPDIR", folder.path}});
  }
  // Waits until the call is answered so.
  static bool Answers(const Tcp::endpoint& operators, const std::string& call, const std::string& answer) {
    const auto until = std::chrono::steady_clock::now() + kGiveUp;
    while (std::chrono::steady_clock::now() < until) {
      try {
        if (CallOperators(operators, call).starts_with(answer)) return true;
      } catch (const std::exception&) {
      }
      std::this_thread::yield();
    }
    return false;
  }

  Backend one{"one"}, two{"two"};
  FakeDiscovery discovery;
  nlohmann::json config = ConfigJson(
      discovery.address(), Members(MemberJson("s-1", one.address()), MemberJson("s-2", two.address())));
  Folder folder;
  const LeasedPort ports[3];
  const Tcp::endpoint address = ports[0].tcp(), old_operators = ports[1].tcp(),
                      new_operators = ports[2].tcp();
  std::unique_ptr<ConfigFile> file;
};

const char kPing[] = "PING\n", kPingYes[] = "ACK taking clients\n";

TEST(Upgrade, NoRequestIsTurnedBackWhileOneProcessReplacesTheOther) {
  Upgrade site;
  const auto before = site.Start(site.old_operators);
  ASSERT_TRUE(Upgrade::Answers(site.old_operators, kPing, kPingYes));
  Watched<bool> over;
  int asked = 0, unheard = 0, not_ready = 0;
  std::thread clients([&] {
    while (!over.Get()) {
      ++asked;
      try {
        Client client(site.address);
        unheard += client.Ask(Look()).result_int() == 0;
        not_ready += ReadyStatus(site.address) != 200;
      } catch (const std::exception&) {
        ++unheard;
      }
    }
  });
  const auto after = site.Start(site.new_operators);
  EXPECT_TRUE(Upgrade::Answers(site.new_operators, kPing, kPingYes));
  before->Signal(SIGTERM);
  EXPECT_EQ(before->Reap(), 0);
  EXPECT_EQ(ReadyStatus(site.address), 200u);
  over.Do([](bool& o) { o = true; });
  clients.join();
  EXPECT_GT(asked, 0);
  EXPECT_EQ(unheard, 0);
  EXPECT_EQ(not_ready, 0);
  EXPECT_EQ(CallOperators(site.new_operators, kPing), kPingYes);
  after->Signal(SIGTERM);
  EXPECT_EQ(after->Reap(), 0);
}

TEST(Upgrade, AKeptConnectionIsServedOnceMoreByTheOldProcess) {
  Upgrade site;
  const auto before = site.Start(site.old_operators);
  ASSERT_TRUE(Upgrade::Answers(site.old_operators, kPing, kPingYes));
  Client kept(site.address);
  EXPECT_EQ(kept.Ask(Look()).result_int(), 200u);
  const auto after = site.Start(site.new_operators);
  ASSERT_TRUE(Upgrade::Answers(site.new_operators, kPing, kPingYes));
  EXPECT_EQ(kept.Ask(Look()).result_int(), 200u);
  before->Signal(SIGTERM);
  ASSERT_TRUE(Upgrade::Answers(site.old_operators, kPing, "NAK OPS-6 "));
  std::this_thread::sleep_for(std::chrono::milliseconds(800));  // the old listener is closed long since
  EXPECT_EQ(kept.Ask(Look()).result_int(), 200u);
  EXPECT_TRUE(kept.Ended());
  EXPECT_EQ(before->Reap(), 0);
}

TEST(Upgrade, MaintenanceHoldsInBothProcessesAndInTheNextOne) {
  Upgrade site;
  auto before = site.Start(site.old_operators);
  ASSERT_TRUE(Upgrade::Answers(site.old_operators, kPing, kPingYes));
  EXPECT_EQ(CallOperators(site.old_operators, "DETACH s-1\n"), "ACK detached\n");
  const auto after = site.Start(site.new_operators);
  ASSERT_TRUE(Upgrade::Answers(site.new_operators, kPing, kPingYes));
  const auto gets = [&](Backend& backend) {
    const std::size_t seen = backend.seen.Get().requests.size();
    for (int i = 0; i < 40; ++i) Client(site.address).Ask(Look());
    return backend.seen.Get().requests.size() > seen;
  };
  EXPECT_FALSE(gets(site.one));
  EXPECT_EQ(CallOperators(site.new_operators, "ATTACH s-1\n"), "ACK attached\n");
  EXPECT_EQ(CallOperators(site.new_operators, "DETACH s-2\n"), "ACK detached\n");
  EXPECT_FALSE(gets(site.two)) << "in the old process, too";
  before->Signal(SIGKILL);
  before->Reap();
  before = site.Start(site.old_operators);
  ASSERT_TRUE(Upgrade::Answers(site.old_operators, kPing, kPingYes));
  EXPECT_FALSE(gets(site.two));
  EXPECT_EQ(CallOperators(site.old_operators, "ATTACH s-2\n"), "ACK attached\n");
}

TEST(Upgrade, ACallThatCannotBeKeptIsANo) {
  Upgrade site;
  const auto process = site.Start(site.old_operators);
  ASSERT_TRUE(Upgrade::Answers(site.old_operators, kPing, kPingYes));
  std::filesystem::remove_all(site.folder.path);
  EXPECT_TRUE(CallOperators(site.old_operators, "DETACH s-1\n").starts_with("NAK OPS-3 "));
  bool seen = false;
  const auto until = std::chrono::steady_clock::now() + kGiveUp;
  while (!seen && std::chrono::steady_clock::now() < until) {
    Client(site.address).Ask(Look());
    seen = !site.one.seen.Get().requests.empty();
  }
  EXPECT_TRUE(seen) << "and nothing has changed";
}

}  // namespace
}  // namespace load_balancer::testing
