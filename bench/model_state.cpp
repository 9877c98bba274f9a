// SPDX-License-Identifier: Apache-2.0
//
// Shared state on the model: how soon a verdict that one member writes is held by every other, for fleets of
// several sizes under loss. One row of a table for each size and loss; each verdict has a fleet of its own.
//
//   model_state [--sizes 5,20,100] [--losses 0,10,30] [--verdicts 200] [--lasts 2000] [--interval 500]
#include <CLI/CLI.hpp>
#include <cstdio>

#include "figures.h"
#include "model/fleet/federation.h"

namespace {

using namespace load_balancer;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct Row {
  std::vector<double> taken_ms;  // of each member but the writer and each verdict
  std::size_t missed = 0;        // members that a verdict did not reach before its end
  double bytes_per_second = 0;   // of a member, while the verdicts last, in the mean
};

class Takers : public model::Observer {
 public:
  explicit Takers(Row* row) : row_(row) {}
  void Begin(model::Moment at) { told_ = at; }
  void OnEntryAccepted(const model::PoolMember& by, const fleet::Entry&) override {
    row_->taken_ms.push_back(std::chrono::duration<double, std::milli>(by.host().TrueTime() - told_).count());
  }

 private:
  Row* row_;
  model::Moment told_{};
};

struct Setting {
  std::size_t members = 5;
  double loss = 0;
  milliseconds interval{500}, lasts{2000};
};

// By a member, in the mean.
double BytesSent(model::Federation& federation) {
  double sum = 0;
  for (std::size_t i = 0; i < federation.size(); ++i) sum += static_cast<double>(federation.world().bytes(i));
  return sum / static_cast<double>(federation.size());
}

void Measure(std::uint64_t seed, const Setting& setting, Row* row) {
  Takers takers(row);
  model::FederationOptions options;
  options.members = setting.members;
  options.fleet.probe_interval = setting.interval;
  options.fleet.sync_interval = 10 * setting.interval;
  options.observer = &takers;
  model::Federation federation(seed, options);
  model::World& world = federation.world();
  world.RunUntil(20 * setting.interval);
  model::Link lossy = options.link;
  lossy.loss = setting.loss;
  world.network().SetDefault(lossy);
  // At any phase of the round of probes and of the syncs.
  const auto began = world.now() + milliseconds(world.random()() % (10 * setting.interval.count()));
  world.RunUntil(began);
  const std::size_t before = row->taken_ms.size();
  const double sent = BytesSent(federation);
  takers.Begin(began);
  const auto until = world.host(0).Wall() + static_cast<fleet::UnixMs>(setting.lasts.count());
  federation.member(0, model::kSitePool)->Announce(fleet::Ejection{"s-1", until, 9, 9});
  world.RunUntil(began + setting.lasts);
  row->missed += setting.members - 1 - (row->taken_ms.size() - before);
  row->bytes_per_second +=
      (BytesSent(federation) - sent) / std::chrono::duration<double>(setting.lasts).count();
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Convergence of shared verdicts on the model, by size and loss.");
  std::vector<std::size_t> sizes{5, 20, 100};
  std::vector<int> losses{0, 10, 30};
  int verdicts = 200, lasts_ms = 2000, interval_ms = 500;
  app.add_option("--sizes", sizes)->delimiter(',');
  app.add_option("--losses", losses)->delimiter(',');
  app.add_option("--verdicts", verdicts, "each in a fleet of its own");
  app.add_option("--lasts", lasts_ms, "from a verdict to its end, ms");
  app.add_option("--interval", interval_ms, "probe interval, ms");
  CLI11_PARSE(app, argc, argv);
  std::printf("| members | loss %% | verdicts | taken p50 ms | p99 ms | most ms | missed | of | bytes/s |\n");
  std::printf("| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (const std::size_t size : sizes) {
    for (const int loss : losses) {
      Row row;
      for (int i = 0; i < verdicts; ++i)
        Measure(static_cast<std::uint64_t>(i + 1),
                {size, loss / 100.0, milliseconds(interval_ms), milliseconds(lasts_ms)}, &row);
      std::printf("| %zu | %d | %d | %.1f | %.1f | %.1f | %zu | %zu | %.0f |\n", size, loss, verdicts,
                  bench::Quantile(row.taken_ms, 0.5), bench::Quantile(row.taken_ms, 0.99),
                  bench::Quantile(row.taken_ms, 1), row.missed, row.missed + row.taken_ms.size(),
                  row.bytes_per_second / verdicts);
      std::fflush(stdout);
    }
  }
  return 0;
}
