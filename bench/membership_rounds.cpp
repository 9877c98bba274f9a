// SPDX-License-Identifier: Apache-2.0
//
// Membership among real processes: how soon a killed member is held as dead by every other, live members held
// as dead, the bytes that a member sends, and how soon news of one member have reached all, for fleets of
// several sizes under loss on every path. Prints one row of a table for each size and loss.
//
//   membership_rounds [--sizes 5,20,100] [--losses 0,10,30] [--kills 10] [--interval MS]
#include <CLI/CLI.hpp>
#include <cstdio>

#include "fleet_bench.h"

namespace {

using namespace load_balancer::bench;

struct Row {
  std::vector<double> detection;  // seconds, of each survivor and each kill
  std::vector<double> spread;     // probe intervals from the first that knows to the last
  std::size_t false_deaths = 0;
  double bytes_per_second = 0;  // sent by a member while nothing happens
};

// Deaths that any process has logged of a member that lived then.
std::size_t FalseDeaths(Cluster& cluster, const std::set<std::size_t>& dead) {
  std::size_t count = cluster.Count(" state=dead ");
  for (const std::size_t i : dead) count -= cluster.Count("member=" + Cluster::Name(i) + " state=dead ");
  return count;
}

// Kills one member and waits until every other holds it as dead.
void Kill(Cluster& cluster, std::size_t victim, const std::set<std::size_t>& dead, Clock::duration interval,
          Row* row) {
  const auto marks = cluster.LineCounts();
  const auto killed = Clock::now();
  cluster.process(victim).Kill();
  std::vector<double> known;
  for (std::size_t i = 0; i < cluster.size(); ++i) {
    if (i == victim || dead.contains(i)) continue;
    const auto line = cluster.WaitForState(i, victim, "dead", marks[i], milliseconds(300000));
    if (!line) throw std::runtime_error("a death was never noticed");
    known.push_back(Seconds(cluster.process(i).LineReadAt(*line) - killed));
  }
  const auto [first, last] = std::minmax_element(known.begin(), known.end());
  row->spread.push_back((*last - *first) / Seconds(interval));
  row->detection.insert(row->detection.end(), known.begin(), known.end());
}

Row Measure(std::size_t size, int loss, int kills, int interval_ms) {
  Row row;
  Cluster cluster(size, {{"probe_interval_ms", interval_ms}, {"sync_interval_ms", 10 * interval_ms}});
  if (!cluster.WaitUntilAllAlive()) throw std::runtime_error("the fleet did not come together");
  cluster.SendRelayCommand("FAULT * drop=" + std::to_string(loss / 100.0));
  const auto began = Clock::now();
  const double before = BytesSent(cluster, {});
  std::this_thread::sleep_for(milliseconds(interval_ms) * 30);
  row.bytes_per_second = (BytesSent(cluster, {}) - before) / Seconds(Clock::now() - began);
  std::set<std::size_t> dead;
  // Not the seeds, and never more than half of the fleet.
  for (int i = 0; i < kills && dead.size() < (size - 1) / 2; ++i) {
    const std::size_t victim = size - 1 - static_cast<std::size_t>(i);
    Kill(cluster, victim, dead, milliseconds(interval_ms), &row);
    dead.insert(victim);
  }
  row.false_deaths = FalseDeaths(cluster, dead);
  return row;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Membership's detection times, false deaths and bytes, by size and loss.");
  std::vector<std::size_t> sizes{5, 20, 100};
  std::vector<int> losses{0, 10, 30};
  int kills = 10, interval_ms = 1000;
  app.add_option("--sizes", sizes)->delimiter(',');
  app.add_option("--losses", losses)->delimiter(',');
  app.add_option("--kills", kills, "members killed one after another, at most half of the fleet");
  app.add_option("--interval", interval_ms, "probe interval, ms");
  CLI11_PARSE(app, argc, argv);
  std::printf(
      "| members | loss %% | kills | detection p50 s | p99 s | first to last, intervals | false deaths | "
      "bytes/s |\n");
  std::printf("| --- | --- | --- | --- | --- | --- | --- | --- |\n");
  try {
    for (const std::size_t size : sizes) {
      for (const int loss : losses) {
        const Row row = Measure(size, loss, kills, interval_ms);
        std::printf("| %zu | %d | %zu | %.2f | %.2f | %.1f | %zu | %.0f |\n", size, loss, row.spread.size(),
                    Quantile(row.detection, 0.5), Quantile(row.detection, 0.99), Quantile(row.spread, 0.5),
                    row.false_deaths, row.bytes_per_second);
        std::fflush(stdout);
      }
    }
  } catch (const std::exception& error) {
    std::fprintf(stderr, "membership_rounds: %s\n", error.what());
    return 1;
  }
  return 0;
}
