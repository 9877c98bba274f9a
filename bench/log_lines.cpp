// SPDX-License-Identifier: Apache-2.0
//
// The cost of one log line: the process's logger as text and as JSON, beside the fprintf to a line-buffered
// standard error that it replaced. Standard error goes to /dev/null, so that the figures are those of the
// program and not of a terminal.
#include <benchmark/benchmark.h>
#include <fcntl.h>
#include <unistd.h>

#include <cstdio>
#include <string>

#include "base/log.h"

namespace {

namespace log = load_balancer::log;

// As the module words a line of its own.
const std::string kEvent = "server 17 ejected: 9 failures of 12, for 30000 ms";

void Printf(benchmark::State& state) {
  for (auto _ : state) std::fprintf(stderr, "%s\n", kEvent.c_str());
}

void Logger(benchmark::State& state, log::Format format) {
  log::Start(format, "n3");
  for (auto _ : state) log::Info("module", kEvent);
}

BENCHMARK(Printf);
BENCHMARK_CAPTURE(Logger, text, log::Format::kText);
BENCHMARK_CAPTURE(Logger, json, log::Format::kJson);

}  // namespace

int main(int argc, char** argv) {
  std::setvbuf(stderr, nullptr, _IOLBF, 0);
  const int null = ::open("/dev/null", O_WRONLY);
  if (null < 0 || ::dup2(null, STDERR_FILENO) < 0) return 1;
  ::close(null);
  benchmark::Initialize(&argc, argv);
  benchmark::RunSpecifiedBenchmarks();
  benchmark::Shutdown();
  return 0;
}
