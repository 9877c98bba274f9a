// SPDX-License-Identifier: Apache-2.0
//
// Leases among real processes: how soon the watch of discovery passes on after its holder is killed, and how
// many watches of discovery a fleet holds with leases off and on, side by side. One row of a table for each
// size.
//
//   lease_handoff [--sizes 5,20,100] [--kills 5] [--term MS] [--interval MS]
#include <CLI/CLI.hpp>
#include <atomic>
#include <cstdio>

#include "fleet_bench.h"

namespace {

using namespace load_balancer::bench;
using namespace load_balancer::testing;

constexpr std::size_t kVoters = 5;
constexpr const char* kHolds = "lease duty=discovery role=holder";

// Cuts each watch after a second, as discovery may, and counts those that come.
class ShortWatches {
 public:
  ShortWatches() : listener_([this](Tcp::socket& s) { Serve(s); }) {}
  Tcp::endpoint address() const { return listener_.address; }
  int calls() const { return calls_; }

 private:
  void Serve(Tcp::socket& socket) {
    boost::beast::flat_buffer buffer;
    HttpRequest request;
    error_code failed;
    http::read(socket, buffer, request, failed);
    if (failed) return;
    ++calls_;
    const std::string list =
        ListJson(50, true, Members(MemberJson("s-1", Tcp::endpoint(kAnyPort.address(), 9)))).dump();
    char size[24];
    std::snprintf(size, sizeof size, "%zx", list.size() + 1);
    SendRaw(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + std::string(size) + "\r\n" +
                        list + "\n\r\n");
    std::this_thread::sleep_for(milliseconds(1000));
  }
  std::atomic<int> calls_ = 0;
  Listener listener_;
};

nlohmann::json Section(int interval_ms, int term_ms) {
  return {
      {"probe_interval_ms", interval_ms}, {"sync_interval_ms", 10 * interval_ms}, {"lease_term_ms", term_ms}};
}

// The live member that logs first that it holds discovery, from the marks on, and when; an exception if none
// does.
struct Held {
  std::size_t member = 0;
  Clock::time_point at{};
};
Held Holder(Cluster& cluster, const std::vector<std::size_t>& marks, const std::set<std::size_t>& dead) {
  const auto until = Clock::now() + std::chrono::seconds(60);
  while (Clock::now() < until) {
    for (std::size_t i = 0; i < cluster.size(); ++i) {
      if (dead.contains(i)) continue;
      if (const auto line = cluster.process(i).WaitFor(kHolds, marks[i], milliseconds(0)))
        return {i, cluster.process(i).LineReadAt(line->first)};
    }
    std::this_thread::sleep_for(milliseconds(5));
  }
  throw std::runtime_error("no member holds the lease");
}

double CallsPerSecond(const ShortWatches& discovery, std::chrono::seconds span) {
  const int before = discovery.calls();
  std::this_thread::sleep_for(span);
  return (discovery.calls() - before) / Seconds(span);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Hand-off of leases after SIGKILL, and calls of discovery with leases off and on.");
  std::vector<std::size_t> sizes{5, 20, 100};
  int kills = 5, term_ms = 3000, interval_ms = 1000;
  app.add_option("--sizes", sizes)->delimiter(',');
  app.add_option("--kills", kills, "holders killed one after another; those that vote come back");
  app.add_option("--term", term_ms, "lease term, ms");
  app.add_option("--interval", interval_ms, "probe interval, ms");
  CLI11_PARSE(app, argc, argv);
  std::printf(
      "| members | calls/s off | calls/s on | hand-offs | p50 s | p99 s | datagrams/s of a member |\n");
  std::printf("| --- | --- | --- | --- | --- | --- | --- |\n");
  try {
    for (const std::size_t size : sizes) {
      const ShortWatches off_discovery, on_discovery;
      double off = 0;
      {
        Cluster cluster(size, Section(interval_ms, 0), ConfigJson(off_discovery.address(), {}),
                        Cluster::NoEdit, kVoters);
        if (!cluster.WaitUntilAllAlive()) throw std::runtime_error("the fleet did not come together");
        off = CallsPerSecond(off_discovery, std::chrono::seconds(10));
      }
      Cluster cluster(size, Section(interval_ms, term_ms), ConfigJson(on_discovery.address(), {}),
                      Cluster::NoEdit, kVoters);
      auto holder = Holder(cluster, std::vector<std::size_t>(size, 0), {});
      std::this_thread::sleep_for(milliseconds(2 * term_ms));
      const std::uint64_t sent = cluster.Counter(0, "sent");
      const double on = CallsPerSecond(on_discovery, std::chrono::seconds(10));
      const double datagrams = static_cast<double>(cluster.Counter(0, "sent") - sent) / 10;
      std::vector<double> handed;
      for (int i = 0; i < kills; ++i) {
        const auto marks = cluster.LineCounts();
        const std::size_t victim = holder.member;
        const auto killed = Clock::now();
        cluster.process(victim).Kill();
        holder = Holder(cluster, marks, {victim});
        handed.push_back(Seconds(holder.at - killed));
        cluster.Restart(victim);
        std::this_thread::sleep_for(milliseconds(2 * term_ms));  // until it may vote again
      }
      std::printf("| %zu | %.1f | %.1f | %zu | %.2f | %.2f | %.1f |\n", size, off, on, handed.size(),
                  Quantile(handed, 0.5), Quantile(handed, 0.99), datagrams);
      std::fflush(stdout);
    }
  } catch (const std::exception& error) {
    std::fprintf(stderr, "lease_handoff: %s\n", error.what());
    return 1;
  }
  return 0;
}
