// SPDX-License-Identifier: Apache-2.0
//
// Recovery of real processes: the time from exec to the first yes of /ready with no file, with a snapshot of
// so many entries, and from a peer; the time and size of a write of so many entries; and the requests that
// reach an ejected server in the five seconds after a restart, with recovery off and on, side by side.
//
//   recovery_time [--entries 10,1000,100000] [--starts 10]
#include <CLI/CLI.hpp>
#include <cstdio>

#include "fleet_bench.h"
#include "program_paths.h"
#include "state/snapshot_file.h"

namespace {

using namespace load_balancer::bench;
using namespace load_balancer::testing;
namespace st = load_balancer::state;

st::UnixMs WallNow() {
  return static_cast<st::UnixMs>(
      std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
}

st::Snapshot Sample(std::size_t entries) {
  st::Snapshot snapshot{"n1", WallNow(), WallNow(), {}};
  auto& verdicts = snapshot.body["verdicts"] = nlohmann::json::array();
  for (std::size_t i = 0; i < entries; ++i)
    verdicts.push_back({{"server", "server-" + std::to_string(i)},
                        {"until", static_cast<double>(WallNow() + 15000)},
                        {"multiplier", 1}});
  snapshot.body["pace"] = {0.1, 1.0, 0.5, 1.0};
  return snapshot;
}

std::string SnapshotOf(const Member& member) {
  return member.folder->path /
         ("kestrelline-127.0.0.1-" + std::to_string(member.clients.port()) + ".snapshot");
}

bool Ready(const Tcp::endpoint& at) {
  try {
    return Client(at).Ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").result_int() == 200;
  } catch (const boost::system::system_error&) {
    return false;  // it does not listen yet
  }
}

// The process of the fleet at `index` is killed, `prepare` is called, and it is started again.
template <typename Restart, typename Prepare>
double TimeToReady(Member& member, Restart restart, Prepare prepare) {
  member.process->Kill();
  prepare();
  const auto began = Clock::now();
  restart();
  while (!Ready(member.clients)) {
    if (Clock::now() - began > std::chrono::seconds(60)) throw std::runtime_error("never ready");
    std::this_thread::sleep_for(std::chrono::microseconds(200));
  }
  return 1000 * Seconds(Clock::now() - began);
}

nlohmann::json Config(const std::vector<nlohmann::json>& servers) {
  nlohmann::json config = ConfigJson(Tcp::endpoint(kAnyPort.address(), 9), servers);
  config["state"] = {{"snapshot_interval_ms", 3600000}};
  return config;
}

void PrintStarts(const char* what, const std::vector<double>& times) {
  std::printf("| %s | %zu | %.1f | %.1f |\n", what, times.size(), Quantile(times, 0.5), Quantile(times, 1));
  std::fflush(stdout);
}

void Starts(const std::vector<std::size_t>& entries, int starts) {
  Backend server;
  const auto config = Config(Members(MemberJson("s-1", server.address())));
  std::printf("| start | times | ready p50 ms | most ms |\n| --- | --- | --- | --- |\n");
  Fleet fleet(load_balancer::testing::kProxyPath);
  Member& member = fleet[fleet.Start(config)];
  const auto restart = [&] { fleet.Restart(0); };
  std::vector<double> times;
  for (int i = 0; i < starts; ++i)
    times.push_back(TimeToReady(member, restart, [&] { std::filesystem::remove(SnapshotOf(member)); }));
  PrintStarts("no file", times);
  for (const std::size_t n : entries) {
    times.clear();
    for (int i = 0; i < starts; ++i)
      times.push_back(TimeToReady(
          member, restart, [&] { st::WriteAtomically(SnapshotOf(member), "", st::Encode(Sample(n))); }));
    PrintStarts((std::to_string(n) + " entries").c_str(), times);
  }
  Cluster cluster(3, {{"probe_interval_ms", 200}}, config);
  if (!cluster.WaitUntilAllAlive()) throw std::runtime_error("the fleet did not come together");
  times.clear();
  for (int i = 0; i < starts; ++i)
    times.push_back(TimeToReady(
        cluster[2], [&] { cluster.Restart(2); }, [&] { std::filesystem::remove(SnapshotOf(cluster[2])); }));
  PrintStarts("from a peer", times);
}

void Writes(const std::vector<std::size_t>& entries, int times) {
  std::printf("\n| entries | bytes | write p50 ms | most ms |\n| --- | --- | --- | --- |\n");
  const Folder folder;
  for (const std::size_t n : entries) {
    const st::Snapshot snapshot = Sample(n);
    std::vector<double> took;
    std::size_t size = 0;
    for (int i = 0; i < times; ++i) {
      const auto began = Clock::now();
      const auto bytes = st::Encode(snapshot);
      st::WriteAtomically(folder.path / "w", folder.path / "w.previous", bytes);
      took.push_back(1000 * Seconds(Clock::now() - began));
      size = bytes.size();
    }
    std::printf("| %zu | %zu | %.2f | %.2f |\n", n, size, Quantile(took, 0.5), Quantile(took, 1));
  }
}

// Requests that reach the failing server in the five seconds after a restart in its backoff.
std::size_t SentToEjected(bool recovery) {
  Backend bad([](Tcp::socket& s, const HttpRequest&) {
    SendRaw(s, "HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n");
    return true;
  });
  Backend good;
  auto config = Config(Members(MemberJson("s-1", bad.address()), MemberJson("s-2", good.address()),
                               MemberJson("s-3", good.address())));
  config["state"]["snapshot_interval_ms"] = 100;
  if (!recovery) config.erase("state");
  Fleet fleet(load_balancer::testing::kProxyPath);
  Member& member = fleet[fleet.Start(config)];
  const auto ask = [&](std::chrono::seconds span) {
    const auto until = Clock::now() + span;
    Client client(member.clients);
    do {
      client.Ask(Look());
      std::this_thread::sleep_for(milliseconds(5));
    } while (Clock::now() < until);
  };
  while (!member.process->WaitFor(" ejected: ", 0, milliseconds(1))) ask(std::chrono::seconds(0));
  std::this_thread::sleep_for(milliseconds(300));  // until a snapshot has it
  fleet.Restart(0);
  const std::size_t before = bad.seen.Get().requests.size();
  ask(std::chrono::seconds(5));
  return bad.seen.Get().requests.size() - before;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Times of recovery, and what it saves.");
  std::vector<std::size_t> entries{10, 1000, 100000};
  int starts = 10;
  app.add_option("--entries", entries)->delimiter(',');
  app.add_option("--starts", starts, "of each kind");
  CLI11_PARSE(app, argc, argv);
  try {
    Starts(entries, starts);
    Writes(entries, starts);
    const std::size_t off = SentToEjected(false), on = SentToEjected(true);
    std::printf("\nrequests to an ejected server in 5 s after a restart: recovery off %zu, on %zu\n", off,
                on);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "recovery_time: %s\n", error.what());
    return 1;
  }
  return 0;
}
