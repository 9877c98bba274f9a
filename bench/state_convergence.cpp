// SPDX-License-Identifier: Apache-2.0
//
// Shared state among real processes: how soon a verdict that one member writes is held by every other, and
// the bytes that a member sends meanwhile, for fleets of several sizes under loss on every path. One row of a
// table for each size and loss.
//
//   state_convergence [--sizes 5,20,100] [--losses 0,10,30] [--verdicts 5] [--interval MS]
#include <CLI/CLI.hpp>
#include <cstdio>

#include "fleet_bench.h"

namespace {

using namespace load_balancer::bench;
using namespace load_balancer::testing;

struct Row {
  std::vector<double> taken;  // seconds, of each member but the writer and each verdict
  std::size_t missed = 0;     // members that did not take a verdict before its end
  std::vector<double> bytes_per_second;
};

// Three servers, of which the first fails in front of the first member only.
struct Servers {
  Backend bad{[](Tcp::socket& s, const HttpRequest&) {
    SendRaw(s, "HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n");
    return true;
  }};
  Backend one{"s-1"}, two{"s-2"}, three{"s-3"};
  void operator()(std::size_t member, nlohmann::json& config) const {
    config["known"] = ListJson(41, true,
                               Members(MemberJson("s-1", member == 0 ? bad.address() : one.address()),
                                       MemberJson("s-2", two.address()), MemberJson("s-3", three.address())));
  }
};

// Asks the first member until it takes the failing server out; when it did.
Clock::time_point Eject(Cluster& cluster) {
  const auto mark = cluster.process(0).LineCount();
  for (int i = 0; i < 20000; ++i) {
    Client(cluster[0].clients).Ask(Look());
    const auto line = cluster.process(0).WaitFor(" ejected: ", mark, milliseconds(1));
    if (line) return cluster.process(0).LineReadAt(line->first);
  }
  throw std::runtime_error("the server was never ejected");
}

// One verdict in a fleet of its own: of a server's later ejections the log may leave some out.
void Measure(std::size_t size, int loss, int interval_ms, Row* row) {
  const Servers servers;
  Cluster cluster(size, {{"probe_interval_ms", interval_ms}, {"sync_interval_ms", 10 * interval_ms}},
                  ConfigJson(Tcp::endpoint(kAnyPort.address(), 9), {}), std::cref(servers));
  if (!cluster.WaitUntilAllAlive()) throw std::runtime_error("the fleet did not come together");
  cluster.SendRelayCommand("FAULT * drop=" + std::to_string(loss / 100.0));
  const auto began = Clock::now();
  const double before = BytesSent(cluster, {});
  const auto ejected = Eject(cluster);
  for (std::size_t i = 1; i < size; ++i) {
    const auto line = cluster.process(i).WaitFor("verdict server=s-1 from=n1", 0, milliseconds(20000));
    if (line)
      row->taken.push_back(Seconds(cluster.process(i).LineReadAt(line->first) - ejected));
    else
      ++row->missed;
  }
  row->bytes_per_second.push_back((BytesSent(cluster, {}) - before) / Seconds(Clock::now() - began));
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Convergence of shared verdicts, by size and loss.");
  std::vector<std::size_t> sizes{5, 20, 100};
  std::vector<int> losses{0, 10, 30};
  int verdicts = 5, interval_ms = 1000;
  app.add_option("--sizes", sizes)->delimiter(',');
  app.add_option("--losses", losses)->delimiter(',');
  app.add_option("--verdicts", verdicts, "each in a fleet of its own");
  app.add_option("--interval", interval_ms, "probe interval, ms");
  CLI11_PARSE(app, argc, argv);
  std::printf("| members | loss %% | verdicts | taken p50 ms | p99 ms | most ms | missed | bytes/s |\n");
  std::printf("| --- | --- | --- | --- | --- | --- | --- | --- |\n");
  try {
    for (const std::size_t size : sizes) {
      for (const int loss : losses) {
        Row row;
        for (int i = 0; i < verdicts; ++i) Measure(size, loss, interval_ms, &row);
        std::printf("| %zu | %d | %d | %.1f | %.1f | %.1f | %zu | %.0f |\n", size, loss, verdicts,
                    1000 * Quantile(row.taken, 0.5), 1000 * Quantile(row.taken, 0.99),
                    1000 * Quantile(row.taken, 1), row.missed, Quantile(row.bytes_per_second, 0.5));
        std::fflush(stdout);
      }
    }
  } catch (const std::exception& error) {
    std::fprintf(stderr, "state_convergence: %s\n", error.what());
    return 1;
  }
  return 0;
}
