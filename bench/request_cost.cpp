// SPDX-License-Identifier: Apache-2.0
//
// CPU time of a process of the proxy for one request, side by side: with its log read as text, read as JSON
// and discarded, and of several builds of the program. All processes run at once; each round loads one after
// the other, in turned order, with the same number of requests on kept connections, and a ratio is that of
// two neighbours in one round. One of the three stand-in servers fails in turns, so that there is something
// to log.
//
//   request_cost [--programs PATH,...] [--rounds N] [--requests N] [--connections N] [--failing-ms MS]
#include <time.h>

#include <CLI/CLI.hpp>
#include <atomic>
#include <cstdio>
#include <fstream>

#include "figures.h"
#include "fleet/harness.h"
#include "loopback.h"
#include "program_paths.h"

namespace {

using namespace load_balancer::testing;
using fleet::Process;
using load_balancer::bench::Quantile;

struct Options {
  std::vector<std::string> programs{load_balancer::testing::kProxyPath};
  int rounds = 40, requests = 4000, connections = 8, failing_ms = 500;
};

struct Variant {
  std::string program, log;
  LeasedPort port;
  fleet::Folder folder;
  std::unique_ptr<Process> process;
  std::vector<double> us, ratios;  // of CPU time for a request, round by round
};

// Answers at once; of each second it fails for the first `failing_ms`.
void Serve(Tcp::socket& socket, int failing_ms) {
  boost::beast::flat_buffer buffer;
  for (;;) {
    HttpRequest request;
    error_code failed;
    http::read(socket, buffer, request, failed);
    if (failed) return;
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now).count() % 1000;
    SendRaw(socket, ms < failing_ms ? "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n" : OkAnswer("served"));
  }
}

void Start(Variant& variant, nlohmann::json config) {
  config["listen"] = "127.0.0.1:" + std::to_string(variant.port.port());
  const std::string file = variant.folder.path / "config.json";
  std::ofstream(file) << config.dump();
  const std::string run = variant.log == "discarded"
                              ? "exec \"$0\" --config \"$1\" 2>/dev/null"
                              : "exec \"$0\" --config \"$1\" --log-format " + variant.log;
  variant.process =
      std::make_unique<Process>("/bin/sh", std::vector<std::string>{"-c", run, variant.program, file},
                                std::map<std::string, std::string>{{"TMPDIR", variant.folder.path}});
  const auto until = std::chrono::steady_clock::now() + fleet::kMaxWait;
  while (std::chrono::steady_clock::now() < until) {
    try {
      if (Client(variant.port.tcp()).Ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").result_int() == 200)
        return;
    } catch (const std::exception&) {
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  throw std::runtime_error(variant.program + " is not ready");
}

double CpuSeconds(const Process& process) {
  clockid_t clock{};
  timespec used{};
  if (::clock_getcpuclockid(process.pid(), &clock) != 0 || ::clock_gettime(clock, &used) != 0)
    throw std::runtime_error("no CPU clock of the process");
  return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) * 1e-9;
}

// CPU time for a request, in us; the answers that were none of a server's count, too.
double Load(const Variant& variant, const Options& options) {
  std::atomic<int> left = options.requests;
  const double before = CpuSeconds(*variant.process);
  std::vector<std::thread> clients;
  for (int i = 0; i < options.connections; ++i)
    clients.emplace_back([&] {
      Client client(variant.port.tcp());
      while (left.fetch_sub(1) > 0) client.Ask(Look());
    });
  for (std::thread& client : clients) client.join();
  return (CpuSeconds(*variant.process) - before) / options.requests * 1e6;
}

void Run(const Options& options) {
  const Listener one([](Tcp::socket&s) { Serve(s, 0); }), two([](Tcp::socket&s) { Serve(s, 0); });
  const Listener failing([&](Tcp::socket& s) { Serve(s, options.failing_ms); });
  FakeDiscovery discovery;
  const auto config =
      ConfigJson(discovery.address(), Members(MemberJson("s-1", one.address), MemberJson("s-2", two.address),
                                              MemberJson("s-3", failing.address)));
  std::vector<std::unique_ptr<Variant>> variants;
  for (const std::string& program : options.programs)
    for (const char* log : {"discarded", "text", "json"}) {
      variants.push_back(std::make_unique<Variant>());
      variants.back()->program = program;
      variants.back()->log = log;
      Start(*variants.back(), config);
    }
  for (int round = 0; round < options.rounds; ++round) {
    const std::size_t first = static_cast<std::size_t>(round) % variants.size();
    for (std::size_t i = 0; i < variants.size(); ++i) {
      Variant& variant = *variants[(first + i) % variants.size()];
      variant.us.push_back(Load(variant, options));
    }
    for (const auto& variant : variants)
      variant->ratios.push_back(variant->us.back() / variants[0]->us.back());
  }
  std::printf("CPU time of a request; ratios to the first row, median of %d rounds of %d requests\n",
              options.rounds, options.requests);
  for (const auto& variant : variants)
    std::printf(
        "%-40s %-10s us=%.2f ratio=%.3f quarter=%.3f..%.3f lines_per_1000=%.2f\n", variant->program.c_str(),
        variant->log.c_str(), Quantile(variant->us, 0.5), Quantile(variant->ratios, 0.5),
        Quantile(variant->ratios, 0.25), Quantile(variant->ratios, 0.75),
        1000.0 * static_cast<double>(variant->process->LineCount()) / (options.rounds * options.requests));
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("CPU time of a request by log format and build, side by side.");
  Options options;
  app.add_option("--programs", options.programs, "builds of the proxy; the first is the base")
      ->delimiter(',');
  app.add_option("--rounds", options.rounds)->check(CLI::Range(1, 1000));
  app.add_option("--requests", options.requests, "of a round")->check(CLI::Range(1, 1000000));
  app.add_option("--connections", options.connections)->check(CLI::Range(1, 64));
  app.add_option("--failing-ms", options.failing_ms, "of each second, of one server")
      ->check(CLI::Range(0, 1000));
  CLI11_PARSE(app, argc, argv);
  try {
    Run(options);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "request_cost: %s\n", error.what());
    return 1;
  }
  return 0;
}
