// SPDX-License-Identifier: Apache-2.0
//
// Membership's sync on the model: the bytes that a member sends while nothing changes but what loss brings
// about, how soon a member that restarts knows all others, and how soon all views are right after a cut into
// halves has healed. One row of a table for each size and loss.
//
//   model_sync [--sizes 100,1000] [--losses 0,30] [--seeds 3] [--interval 500] [--cut 30]
#include <CLI/CLI.hpp>
#include <cstdio>

#include "figures.h"
#include "fleet/wire/codec.h"
#include "model/fleet/federation.h"

namespace {

using namespace load_balancer;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::chrono::minutes kMostWait{20};

struct Row {
  std::vector<double> join_s, heal_s;
  double bytes_per_second = 0, sync_bytes_per_second = 0, healing_bytes = 0;  // of a member, in the mean
  std::size_t false_deaths = 0, throttled = 0;                                // while nothing fails
};

struct Setting {
  std::size_t members = 100;
  double loss = 0;
  milliseconds interval{500}, cut{30000};
};

// Deaths, and the bytes of syncs: tables and what answers them.
class Watch : public model::Observer {
 public:
  void OnMemberChanged(const model::PoolMember&, const fleet::Member& member,
                       std::optional<fleet::MemberState>) override {
    count += member.update.state == fleet::MemberState::kDead;
  }
  void OnMessageSent(const model::PoolMember& by, const model::Endpoint&,
                     const fleet::Message& message) override {
    if (message.kind != fleet::Message::Kind::kSync) return;
    sync_bytes += fleet::kMaxDatagramBytes - fleet::RemainingBytes(by.options().section.name, message);
    for (const fleet::Update& update : message.updates) sync_bytes += fleet::EncodedSize(update);
  }
  std::size_t count = 0, sync_bytes = 0;
};

double Seconds(model::Moment span) { return std::chrono::duration<double>(span).count(); }

double BytesSent(model::Federation& federation) {
  double sum = 0;
  for (std::size_t i = 0; i < federation.size(); ++i) sum += static_cast<double>(federation.world().bytes(i));
  return sum / static_cast<double>(federation.size());
}

std::size_t Throttled(model::Federation& federation) {
  std::size_t sum = 0;
  for (std::size_t i = 0; i < federation.size(); ++i)
    sum += federation.member(i, model::kSitePool)->throttled();
  return sum;
}

// How many others the machine holds as present.
std::size_t Known(model::Federation& federation, std::size_t machine) {
  return federation.member(machine, model::kSitePool)->membership().CountPresent() - 1;
}

template <typename Done>
double WaitFor(model::World& world, milliseconds step, const Done& done) {
  const auto began = world.now();
  while (!done() && world.now() - began < kMostWait) world.RunUntil(world.now() + step);
  return Seconds(world.now() - began);
}

void Measure(std::uint64_t seed, const Setting& setting, Row* row) {
  Watch watch;
  model::FederationOptions options;
  options.members = setting.members;
  options.fleet.probe_interval = setting.interval;
  options.fleet.sync_interval = 10 * setting.interval;
  options.observer = &watch;
  model::Federation federation(seed, options);
  model::World& world = federation.world();
  world.RunUntil(120 * setting.interval);
  model::Link lossy = options.link;
  lossy.loss = setting.loss;
  world.network().SetDefault(lossy);
  world.RunUntil(world.now() + 40 * setting.interval);
  watch.count = watch.sync_bytes = 0;
  const std::size_t throttled = Throttled(federation);
  const double sent = BytesSent(federation);
  const auto began = world.now();
  world.RunUntil(began + 40 * setting.interval);
  row->bytes_per_second += (BytesSent(federation) - sent) / Seconds(world.now() - began);
  row->sync_bytes_per_second += static_cast<double>(watch.sync_bytes) / static_cast<double>(setting.members) /
                                Seconds(world.now() - began);
  row->false_deaths += watch.count;
  row->throttled += Throttled(federation) - throttled;

  const std::size_t joiner = setting.members / 2;
  world.Restart(joiner);
  row->join_s.push_back(
      WaitFor(world, milliseconds(10), [&] { return Known(federation, joiner) == setting.members - 1; }));

  std::vector<std::size_t> one, other;
  for (std::size_t i = 0; i < setting.members; ++i) (i % 2 ? one : other).push_back(i);
  const auto there = world.network().Cut(one, other), back = world.network().Cut(other, one);
  world.RunUntil(world.now() + setting.cut);
  world.network().End(there);
  world.network().End(back);
  const double before = BytesSent(federation);
  row->heal_s.push_back(WaitFor(world, milliseconds(100), [&] {
    for (std::size_t i = 0; i < setting.members; ++i)
      if (Known(federation, i) != setting.members - 1) return false;
    return true;
  }));
  row->healing_bytes += BytesSent(federation) - before;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Bytes and convergence of membership's sync on the model, by size and loss.");
  std::vector<std::size_t> sizes{100, 1000};
  std::vector<int> losses{0, 30};
  int seeds = 3, interval_ms = 500, cut_s = 30;
  app.add_option("--sizes", sizes)->delimiter(',');
  app.add_option("--losses", losses)->delimiter(',');
  app.add_option("--seeds", seeds, "fleets a row");
  app.add_option("--interval", interval_ms, "probe interval, ms");
  app.add_option("--cut", cut_s, "that the halves are apart, s");
  CLI11_PARSE(app, argc, argv);
  std::printf(
      "| members | loss %% | bytes/s | of syncs | false deaths | throttled | join p50 s | most s | heal p50 "
      "s | most s "
      "| "
      "kB to heal |\n");
  std::printf("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (const std::size_t size : sizes) {
    for (const int loss : losses) {
      Row row;
      for (int i = 0; i < seeds; ++i)
        Measure(static_cast<std::uint64_t>(i + 1),
                {size, loss / 100.0, milliseconds(interval_ms), seconds(cut_s)}, &row);
      std::printf("| %zu | %d | %.0f | %.0f | %zu | %zu | %.2f | %.2f | %.1f | %.1f | %.0f |\n", size, loss,
                  row.bytes_per_second / seeds, row.sync_bytes_per_second / seeds, row.false_deaths,
                  row.throttled, bench::Quantile(row.join_s, 0.5), bench::Quantile(row.join_s, 1),
                  bench::Quantile(row.heal_s, 0.5), bench::Quantile(row.heal_s, 1),
                  row.healing_bytes / seeds / 1000);
      std::fflush(stdout);
    }
  }
  return 0;
}
