// SPDX-License-Identifier: Apache-2.0
//
// Leases on the model: from a holder's death to the next one's first act, for fleets of several sizes under
// loss. Each dead holder comes back. One row of a table for each size and loss.
//
//   model_leases [--sizes 5,20,100] [--losses 0,10,30] [--kills 50] [--term MS] [--interval MS]
#include <CLI/CLI.hpp>
#include <cstdio>
#include <optional>

#include "figures.h"
#include "model/fleet/federation.h"

namespace {

using namespace load_balancer;
using std::chrono::milliseconds;

constexpr char kDuty[] = "discovery";

// Looks every 5 ms, for a minute at most.
std::optional<std::size_t> NextHolder(model::Federation& federation) {
  model::World& world = federation.world();
  const auto until = world.now() + std::chrono::minutes(1);
  while (world.now() < until) {
    const auto holders = FindHolders(federation, 0, model::kSitePool, kDuty);
    if (!holders.empty()) return holders.front();
    world.RunUntil(world.now() + milliseconds(5));
  }
  return std::nullopt;
}

struct Row {
  std::vector<double> handed_s;
  int never = 0;  // no next holder within a minute
  double datagrams_per_second = 0;
};

Row Measure(std::size_t members, int loss, int kills, milliseconds term, milliseconds interval) {
  model::FederationOptions options;
  options.members = members;
  options.seeds = 5;
  options.fleet.probe_interval = interval;
  options.fleet.sync_interval = 10 * interval;
  options.fleet.lease_term = term;
  options.duties = {{kDuty, fleet::LeasedRoleKind::kAvailable}};
  options.link.loss = loss / 100.0;
  model::Federation federation(1, options);
  model::World& world = federation.world();
  world.RunUntil(10 * term);
  Row row;
  for (int i = 0; i < kills; ++i) {
    const auto victim = NextHolder(federation);
    if (!victim) continue;
    const auto killed = world.now();
    world.Crash(*victim);
    if (NextHolder(federation))
      row.handed_s.push_back(std::chrono::duration<double>(world.now() - killed).count());
    else
      ++row.never;
    world.Restart(*victim);
    world.RunUntil(world.now() + 2 * term);  // until it may vote again
  }
  std::uint64_t sent = 0;
  for (std::size_t i = 0; i < members; ++i) sent += world.packets(i);
  row.datagrams_per_second = static_cast<double>(sent) / static_cast<double>(members) /
                             std::chrono::duration<double>(world.now()).count();
  return row;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Hand-off of leases after a crash on the model, by size and loss.");
  std::vector<std::size_t> sizes{5, 20, 100};
  std::vector<int> losses{0, 10, 30};
  int kills = 50, term_ms = 2000, interval_ms = 500;
  app.add_option("--sizes", sizes)->delimiter(',');
  app.add_option("--losses", losses)->delimiter(',');
  app.add_option("--kills", kills, "holders that crash one after another");
  app.add_option("--term", term_ms, "lease term, ms");
  app.add_option("--interval", interval_ms, "probe interval, ms");
  CLI11_PARSE(app, argc, argv);
  std::printf(
      "| members | loss %% | hand-offs | p50 s | p99 s | most s | never | datagrams/s of a member |\n");
  std::printf("| --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (const std::size_t size : sizes) {
    for (const int loss : losses) {
      const Row row = Measure(size, loss, kills, milliseconds(term_ms), milliseconds(interval_ms));
      std::printf("| %zu | %d | %zu | %.2f | %.2f | %.2f | %d | %.1f |\n", size, loss, row.handed_s.size(),
                  bench::Quantile(row.handed_s, 0.5), bench::Quantile(row.handed_s, 0.99),
                  bench::Quantile(row.handed_s, 1), row.never, row.datagrams_per_second);
      std::fflush(stdout);
    }
  }
  return 0;
}
