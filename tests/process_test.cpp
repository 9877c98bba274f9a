// SPDX-License-Identifier: Apache-2.0
//
// The program as it is started: its configuration, its signals, its limits.
#include <gtest/gtest.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <map>

#include "leased_port.h"
#include "loopback.h"

namespace brackenspoke::testing {
namespace {

// The program as a child, with what it writes to standard error.
class Child {
 public:
  explicit Child(const std::map<std::string, std::string>& env, rlim_t descriptors = 0,
                 std::vector<std::string> args = {}) {
    args.insert(args.begin(), PROXY_PATH);
    std::vector<char*> argv;
    for (std::string& arg : args) argv.push_back(arg.data());
    argv.push_back(nullptr);
    int pipe_ends[2];
    if (pipe(pipe_ends) != 0) throw std::runtime_error("no pipe");
    pid_ = fork();
    if (pid_ == 0) {
      dup2(pipe_ends[1], STDERR_FILENO);
      close(pipe_ends[0]);
      close(pipe_ends[1]);
      for (const auto& [name, value] : env) setenv(name.c_str(), value.c_str(), 1);
      const rlimit limit{descriptors, descriptors};
      if (descriptors > 0) setrlimit(RLIMIT_NOFILE, &limit);
      execv(PROXY_PATH, argv.data());
      _exit(127);
    }
    close(pipe_ends[1]);
    stderr_ = pipe_ends[0];
  }
  ~Child() {
    if (pid_ > 0) kill(pid_, SIGKILL), Wait();
    close(stderr_);
  }
  void Signal(int signal) { kill(pid_, signal); }
  // The exit status, or 1000 and the signal that ended it.
  int Wait() {
    int status = 0;
    waitpid(std::exchange(pid_, -1), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : 1000 + WTERMSIG(status);
  }
  // The next line that it writes.
  std::string Line() {
    std::string line;
    for (char c; read(stderr_, &c, 1) == 1 && c != '\n';) line += c;
    return line;
  }
  std::string Stderr() {
    std::string text;
    char piece[4096];
    for (ssize_t n; (n = read(stderr_, piece, sizeof piece)) > 0;)
      text.append(piece, static_cast<std::size_t>(n));
    return text;
  }

 private:
  pid_t pid_ = -1;
  int stderr_ = -1;
};

class ConfigFile {
 public:
  explicit ConfigFile(const std::string& text) {
    char name[] = "/tmp/kestrelline-test-XXXXXX";
    close(mkstemp(name));
    path = name;
    Write(text);
  }
  void Write(const std::string& text) const { std::ofstream(path) << text; }
  ~ConfigFile() { std::filesystem::remove(path); }
  std::string path;
};

void ExpectComplaint(const std::map<std::string, std::string>& env, const std::string& part) {
  Child child(env);
  const std::string text = child.Stderr();
  EXPECT_EQ(child.Wait(), 1) << part;
  EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 1) << text;
  EXPECT_NE(text.find(part), std::string::npos) << text;
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
  with(changed("/discovery", 5), "type");
  with(changed("/seed", "xyz"), "seed");
  with(changed("/settings", nullptr), "balancers");
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
  Child fit({}, 0, {"--config", good.path, "--check-config"});
  EXPECT_EQ(fit.Wait(), 0);
  Child unfit({}, 0, {"--check-config", "--config", bad.path});
  EXPECT_EQ(unfit.Wait(), 1);
  Child json_logs({{"ROUTER_CONFIG", bad.path}}, 0, {"--log-format", "json"});
  const std::string line = json_logs.Line();
  EXPECT_EQ(json_logs.Wait(), 1);
  const auto parsed = nlohmann::json::parse(line, nullptr, false);
  ASSERT_TRUE(parsed.is_object()) << line;
  EXPECT_EQ(parsed["level"], "error");
  EXPECT_NE(parsed["event"].get<std::string>().find("fleet.bind is no host:port"), std::string::npos);
  Child odd({}, 0, {"--log-format", "xml"});
  EXPECT_NE(odd.Wait(), 0);
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
  const std::map<std::string, std::string> env{
      {"ROUTER_CONFIG", file.path}, {"ROUTER_LISTEN", "127.0.0.1:" + std::to_string(address.port())}};
  for (const int signal : {SIGTERM, SIGKILL, SIGTERM}) {
    Child child(env);
    ASSERT_TRUE(WaitUntilReady(address));
    Client client(address);
    EXPECT_EQ(client.Ask(Look()).result_int(), 200u);
    child.Signal(signal);
    if (signal == SIGTERM) {
      EXPECT_EQ(client.Ask(Look()).result_int(), 200u);
    }
    EXPECT_EQ(child.Wait(), signal == SIGTERM ? 0 : 1000 + SIGKILL);
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
  Child child({{"ROUTER_CONFIG", file.path},
               {"ROUTER_LISTEN", "127.0.0.1:" + std::to_string(address.port())},
               {"ROUTER_DISCOVERY", "127.0.0.1:" + std::to_string(before.address().port())}});
  ASSERT_TRUE(WaitUntilReady(address));
  ASSERT_TRUE(before.WaitForWatches(1));
  file.Write("{\"discovery\":");
  child.Signal(SIGHUP);
  std::string line;
  while (!(line = child.Line()).empty() && line.find("not reloaded") == std::string::npos) continue;
  EXPECT_NE(line.find(" error n1 config: CONFIG-1 "), std::string::npos) << line;
  EXPECT_NE(line.find(": not reloaded: the configuration is no JSON object; "), std::string::npos) << line;
  file.Write(config(after.address()));
  child.Signal(SIGHUP);
  ASSERT_TRUE(after.WaitForWatches(1));
  after.Push(ListJson(42, true, Members(MemberJson("s-2", moved.address()))));
  Client client(address);
  const auto until = std::chrono::steady_clock::now() + kGiveUp;
  std::string body;  // of a young proxy: now and then a refusal
  while (body != "moved" && std::chrono::steady_clock::now() < until) body = client.Ask(Look()).body();
  EXPECT_EQ(body, "moved");
  EXPECT_EQ(before.seen.Get().watches.size(), 1u) << "the old address is left alone";
  child.Signal(SIGTERM);
  EXPECT_EQ(child.Wait(), 0);
}

TEST(Process, OutlivesRunningOutOfDescriptors) {
  Backend backend;
  FakeDiscovery discovery;
  const ConfigFile file(
      ConfigJson(discovery.address(), Members(MemberJson("s-1", backend.address()))).dump());
  const LeasedPort port;
  const auto address = port.tcp();
  Child child(
      {{"ROUTER_CONFIG", file.path}, {"ROUTER_LISTEN", "127.0.0.1:" + std::to_string(address.port())}},
      /*descriptors=*/24);
  ASSERT_TRUE(WaitUntilReady(address));
  {
    std::vector<std::unique_ptr<Client>> many;
    for (int i = 0; i < 100; ++i) many.push_back(std::make_unique<Client>(address));
    EXPECT_EQ(many.back()->Ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").result_int(), 200u);
  }
  Client client(address);
  EXPECT_EQ(client.Ask(Look()).result_int(), 200u);
  child.Signal(SIGTERM);
  EXPECT_EQ(child.Wait(), 0);
}

TEST(Process, AnswersOperatorsWithItsDescriptorsUsedUpByClients) {
  Backend backend;
  FakeDiscovery discovery;
  const LeasedPort clients_port, operators_port;
  const auto address = clients_port.tcp(), operators = operators_port.tcp();
  auto config = ConfigJson(discovery.address(), Members(MemberJson("s-1", backend.address())));
  config["ops"] = "127.0.0.1:9";  // the environment goes before it
  const ConfigFile file(config.dump());
  Child child({{"ROUTER_CONFIG", file.path},
               {"ROUTER_LISTEN", "127.0.0.1:" + std::to_string(address.port())},
               {"ROUTER_OPS", "127.0.0.1:" + std::to_string(operators.port())}},
              /*descriptors=*/48);
  ASSERT_TRUE(WaitUntilReady(address));
  std::vector<std::unique_ptr<Client>> many;
  for (int i = 0; i < 100; ++i) {
    many.push_back(std::make_unique<Client>(address));
    many.back()->Send("GET /look");
  }
  for (int i = 0; i < 40; ++i) EXPECT_EQ(CallOperators(operators, "PING\n"), "ACK taking clients\n");
  child.Signal(SIGTERM);
  EXPECT_EQ(child.Wait(), 0);
}

// ---- upgrade ------------------------------------------------------------------------------------------
class Folder {
 public:
  Folder() {
    char name[] = "/tmp/kestrelline-test-XXXXXX";
    if (!mkdtemp(name)) throw std::runtime_error("no folder");
    path = name;
  }
  ~Folder() { std::filesystem::remove_all(path); }
  std::string path;
};

// A proxy that may run twice, each process with an operators' address of its own.
struct Upgrade {
  Upgrade() { config["ops"] = "127.0.0.1:9"; }
  std::unique_ptr<Child> Start(const Tcp::endpoint& operators) {
    if (!file) file = std::make_unique<ConfigFile>(config.dump());
    return std::make_unique<Child>(
        std::map<std::string, std::string>{{"ROUTER_CONFIG", file->path},
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
  EXPECT_EQ(before->Wait(), 0);
  EXPECT_EQ(ReadyStatus(site.address), 200u);
  over.Do([](bool& o) { o = true; });
  clients.join();
  EXPECT_GT(asked, 0);
  EXPECT_EQ(unheard, 0);
  EXPECT_EQ(not_ready, 0);
  EXPECT_EQ(CallOperators(site.new_operators, kPing), kPingYes);
  after->Signal(SIGTERM);
  EXPECT_EQ(after->Wait(), 0);
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
  EXPECT_EQ(before->Wait(), 0);
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
  before->Wait();
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
}  // namespace brackenspoke::testing
