// SPDX-License-Identifier: Apache-2.0
//
// A seeded soak: hundreds of clients and three servers that do what costs memory, in a drawn mixture, while
// processes are upgraded and killed. SOAK_SEED and SOAK_SECONDS replace the seed and the length.
#include <gtest/gtest.h>
#include <signal.h>

#include <array>
#include <atomic>
#include <chrono>
#include <deque>
#include <fstream>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "fleet/harness.h"
#include "leased_port.h"
#include "loopback.h"
#include "memory/memory_fixture.h"
#include "memory/process_memory.h"
#include "program_paths.h"

namespace load_balancer::testing {
namespace {

using fleet::Folder;
using fleet::Process;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;
using Random = std::mt19937_64;

constexpr double kMemoryMb = 32;
constexpr std::size_t kLastLines = 20;  // of a process that has ended by itself
constexpr int kClientThreads = 40;
constexpr std::size_t kOpenPerThread = 10;  // connections that a thread leaves open, stalled
constexpr milliseconds kDeadline{2000};
constexpr milliseconds kLateResponse{1000};  // after the deadline; half of it is for a busy machine

int Draw(Random& random, int count) { return std::uniform_int_distribution<int>(0, count - 1)(random); }

std::string Repeat(int count, const std::string& text) {
  std::string all;
  for (int i = 0; i < count; ++i) all += text;
  return all;
}
std::string Timed(const std::string& more = "") {
  return "Req-Deadline-Ms: " + std::to_string(kDeadline.count()) + "\r\n" + more;
}
std::string BookOf(const std::string& id, std::size_t sent, std::size_t length) {
  return "POST /book HTTP/1.1\r\nHost: x\r\nReq-Id: " + id + "\r\nReq-Kind: book\r\n" + Timed() +
         "Content-Length: " + std::to_string(length) + "\r\n\r\n" + std::string(sent, 'x');
}

// What servers and clients have seen.
struct Record {
  std::map<std::string, int> runs;  // by the Req-Id of requests that must not run twice
  int answered = 0;
  milliseconds longest{0};
};

// A server draws how it answers each request.
class DrawnServer {
 public:
  DrawnServer(Watched<Record>& record, std::uint64_t seed)
      : backend_([this, &record](Tcp::socket& socket, const HttpRequest& request) {
          if (request["Req-Kind"] == "book")
            record.Do([&](Record& r) { ++r.runs[std::string(request["Req-Id"])]; });
          return Answer(socket);
        }),
        random_(seed) {}
  Tcp::endpoint address() const { return backend_.address(); }

 private:
  int DrawAnswer() {
    const std::lock_guard lock(mutex_);
    return Draw(random_, 8);
  }
  bool Answer(Tcp::socket& socket) {
    switch (DrawAnswer()) {
      case 0:
        SendRaw(socket, OkAnswer(std::string(300'000, 'y')));
        return true;
      case 1:
        SendRaw(socket, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n" + Repeat(90, "a:\r\n") +
                            "b: " + std::string(14'000, 'x') + "\r\n\r\nx");
        std::this_thread::sleep_for(milliseconds(500));
        return false;
      case 2:
        SendRaw(socket, "HTTP/1.1 200 OK\r\n" + Repeat(3000, "a:\r\n"));
        std::this_thread::sleep_for(milliseconds(500));
        return false;
      case 3:
        std::this_thread::sleep_for(milliseconds(800));
        [[fallthrough]];
      case 4:
        SendRaw(socket, OkAnswer(std::string(60'000, 'y')));
        return true;
      default:
        SendRaw(socket, OkAnswer("served"));
        return true;
    }
  }

  Backend backend_;
  std::mutex mutex_;
  Random random_;
};

// A client thread draws what it does next, and leaves stalled connections open.
class DrawnClient {
 public:
  DrawnClient(Watched<Record>& record, Tcp::endpoint proxy, std::uint64_t seed, int number)
      : record_(record),
        proxy_(std::move(proxy)),
        random_(seed + static_cast<std::uint64_t>(number)),
        name_(number) {}

  void Run(const std::atomic<bool>& is_over) {
    while (!is_over) {
      try {
        Act();
      } catch (const std::exception&) {  // no process listens just now
      }
      std::this_thread::sleep_for(milliseconds(Draw(random_, 60)));
    }
  }

 private:
  std::string NextId() { return std::to_string(name_) + "-" + std::to_string(++requests_); }
  void Ask(const std::string& bytes) {
    const auto began = Clock::now();
    Client client(proxy_);
    const unsigned status = client.Ask(bytes).result_int();
    const auto took = std::chrono::duration_cast<milliseconds>(Clock::now() - began);
    if (status == 0) return;
    record_.Do([&](Record& record) {
      ++record.answered;
      if (status != 200) record.longest = std::max(record.longest, took);
    });
  }
  void Leave(const std::string& bytes) {
    Client client(proxy_);
    client.Send(bytes);
    std::this_thread::sleep_for(milliseconds(Draw(random_, 100)));
  }
  void Stall(const std::string& bytes) {
    auto client = std::make_unique<Client>(proxy_, kSmallReceiveBuffer);
    client->Send(bytes);
    open_.push_back(std::move(client));
    if (open_.size() > kOpenPerThread) open_.pop_front();
  }
  void Act() {
    const std::size_t part = static_cast<std::size_t>(Draw(random_, 60'000));
    const std::string id = NextId();
    switch (Draw(random_, 10)) {
      case 0:
        return Ask(Look(Timed()));
      case 1:
        return Ask(BookOf(id, 100, 100));
      case 2:
        Leave(BookOf(id, 100, 100));
        return Ask(BookOf(id, 100, 100));
      case 3:
        return Ask(BookOf(id, part, part));
      case 4:
        return Stall(Look(Repeat(Draw(random_, 4000), "a:\r\n")));
      case 5:
        return Stall("GET /look HTTP/1.1\r\nHost: x\r\n" + Repeat(90, "a:\r\n") +
                     "b: " + std::string(part / 4, 'x'));
      case 6:
        return Stall(BookOf(id, part, part + 1));
      case 7:
        return Stall(BookOf(id, part, 1'000'000));
      case 8:
        return Stall("garbage\r\n\r\n" + std::string(part, 'g'));
      default:
        return Stall(Look(Timed()));
    }
  }

  Watched<Record>& record_;
  const Tcp::endpoint proxy_;
  Random random_;
  const int name_;
  int requests_ = 0;
  std::deque<std::unique_ptr<Client>> open_;
};

struct SoakResult {
  Record record;
  double most_mb = 0;  // resident memory of all processes together
};

// Returns how a process that should be running has ended, and its last lines.
std::string DescribeEnd(Process& process) {
  const int status = process.Reap();
  std::string text = "the process has ended by itself: status " + std::to_string(status) + "\n";
  const std::vector<std::string> lines = process.LinesAtEnd();
  for (std::size_t i = lines.size() - std::min<std::size_t>(lines.size(), kLastLines); i < lines.size(); ++i)
    text += lines[i] + "\n";
  return text;
}

std::uint64_t Seed() { return static_cast<std::uint64_t>(FromEnvironment("SOAK_SEED", 1)); }

void RunSoak(SoakResult* result) {
  const std::uint64_t seed = Seed();
  const std::chrono::seconds length(FromEnvironment("SOAK_SECONDS", 20));
  Watched<Record> record;
  Random random(seed);
  std::vector<std::unique_ptr<DrawnServer>> servers;
  std::vector<nlohmann::json> members;
  for (int i = 0; i < 3; ++i) {
    servers.push_back(std::make_unique<DrawnServer>(record, random()));
    members.push_back(
        MemberJson("s-" + std::string(1, static_cast<char>('1' + i)), servers.back()->address()));
  }
  FakeDiscovery discovery;
  const LeasedPort port;
  const std::array<LeasedPort, 3> operators_ports;
  std::size_t starts = 0;
  const Folder folder;
  const std::string config_path = folder.path / "config.json";
  auto config = ConfigJson(discovery.address(), members);
  config["limits"] = {{"cores", 1.0}, {"memory_mb", kMemoryMb}, {"sockets", 1024}};
  std::ofstream(config_path) << config.dump();
  const auto start = [&](std::size_t place) {
    const std::string operators = "127.0.0.1:" + std::to_string(operators_ports.at(place).tcp().port());
    return std::make_unique<Process>(kProxyPath, std::vector<std::string>{},
                                     std::map<std::string, std::string>{
                                         {"ROUTER_CONFIG", config_path},
                                         {"ROUTER_LISTEN", "127.0.0.1:" + std::to_string(port.tcp().port())},
                                         {"ROUTER_OPS", operators},
                                         {"TMPDIR", folder.path}});
  };
  std::array<std::unique_ptr<Process>, 2> processes;  // the second one during an upgrade
  std::array<std::atomic<pid_t>, 2> pids{};
  const auto run = [&](std::size_t place) {
    processes.at(place) = start(starts++ % operators_ports.size());
    pids.at(place) = processes.at(place)->pid();
    ASSERT_TRUE(processes.at(place)->WaitFor("started"));
  };
  run(0);
  std::atomic<bool> is_over{false};
  double most_mb = 0;
  std::thread watch([&] {
    for (; !is_over; std::this_thread::sleep_for(milliseconds(5)))
      most_mb = std::max(most_mb, StatusMb(pids[0], "VmRSS") + StatusMb(pids[1], "VmRSS"));
  });
  std::vector<std::thread> clients;
  for (int i = 0; i < kClientThreads; ++i)
    clients.emplace_back([&, i] { DrawnClient(record, port.tcp(), seed * 1000, i).Run(is_over); });
  for (const auto until = Clock::now() + length; Clock::now() < until;) {
    std::this_thread::sleep_for(milliseconds(1000 + Draw(random, 3000)));
    ASSERT_GT(StatusMb(pids[0], "VmRSS"), 0) << DescribeEnd(*processes[0]);
    if (Draw(random, 3) == 0) {
      processes[0]->Kill();
      run(0);
      continue;
    }
    run(1);
    std::this_thread::sleep_for(milliseconds(3500));  // it takes clients after 3 s without a list
    ASSERT_GT(StatusMb(pids[0], "VmRSS"), 0) << "old: " << DescribeEnd(*processes[0]);
    ASSERT_GT(StatusMb(pids[1], "VmRSS"), 0) << "new: " << DescribeEnd(*processes[1]);
    processes[0]->Signal(SIGTERM);
    std::this_thread::sleep_for(kDeadline + milliseconds(700));
    processes[0]->Kill();
    processes[0] = std::move(processes[1]);
    pids[0] = pids[1].exchange(0);
  }
  is_over = true;
  processes[0]->Kill();  // ends what the clients wait for
  for (auto& client : clients) client.join();
  watch.join();
  *result = {record.Get(), most_mb};
  std::printf("seed %d: most %.1f MB, %d answered, %zu ids run\n", static_cast<int>(seed), most_mb,
              result->record.answered, result->record.runs.size());
}

TEST(MemorySoak, ProcessesStayWithinTheirMemoryAndRefuseInTime) {
  SoakResult result;
  ASSERT_NO_FATAL_FAILURE(RunSoak(&result));
  EXPECT_GT(result.record.answered, 0);
  EXPECT_LE(result.most_mb, kMemoryMb) << "seed " << Seed();
  EXPECT_LE(result.record.longest, kDeadline + kLateResponse) << "seed " << Seed();
}

TEST(RepeatedIdSoak, NoIdRunsTwice) {
  SoakResult result;
  ASSERT_NO_FATAL_FAILURE(RunSoak(&result));
  EXPECT_FALSE(result.record.runs.empty());
  for (const auto& [id, runs] : result.record.runs) EXPECT_EQ(runs, 1) << id << ", seed " << Seed();
}

}  // namespace
}  // namespace load_balancer::testing
