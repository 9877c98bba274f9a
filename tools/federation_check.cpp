// SPDX-License-Identifier: Apache-2.0
//
// The checker of the whole system (docs/model.md): plays seeds with the faults that each draws. Prints what
// was played, and of the first seed that breaks a rule the lines that begin with "broken:" and its trace,
// with the faults that the failure does not need taken out. Exit code 0: nothing is broken; 1: something is.
//
//   federation_check --seeds FROM:COUNT [--seconds N] [--sites N] [--gateways N] [--all] [--whole]
#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdio>
#include <string>

#include "model/shrink.h"
#include "model/system/system.h"
#include "model/trace.h"

namespace {

using namespace load_balancer::model;

void Report(std::uint64_t seed, const SystemOptions& options, std::vector<Fault> faults, bool shrinks) {
  if (shrinks)
    faults = Shrink(std::move(faults), [&](const std::vector<Fault>& some) {
      return !PlaySystem(seed, options, some).broken.empty();
    });
  for (const std::string& line : PlaySystem(seed, options, faults).broken)
    std::printf("broken: %s\n", line.c_str());
  std::printf("%s", WriteTrace({seed, faults}).c_str());
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("checks whole systems");
  std::string seeds = "1:10";
  double seconds = 30;
  bool all = false, whole = false;
  SystemOptions options;
  app.add_option("--seeds", seeds, "FROM:COUNT")->check([](const std::string& text) {
    const std::size_t colon = text.find(':');
    const auto digits = [](const std::string& part) {
      return !part.empty() && part.size() < 19 && part.find_first_not_of("0123456789") == std::string::npos;
    };
    const bool right =
        colon != std::string::npos && digits(text.substr(0, colon)) && digits(text.substr(colon + 1));
    return right ? std::string() : std::string("not FROM:COUNT");
  });
  app.add_option("--seconds", seconds, "of virtual time, until the clients stop")
      ->check(CLI::Range(std::chrono::duration<double>(kLeastLength).count(), 3600.0));
  app.add_option("--sites", options.sites)->check(CLI::Range(2, 20));
  app.add_option("--gateways", options.gateways, "of each site")->check(CLI::Range(1, 20));
  app.add_flag("--all", all, "go on after a seed that fails");
  app.add_flag("--whole", whole, "do not shrink traces");
  CLI11_PARSE(app, argc, argv);
  options.length = std::chrono::duration_cast<Moment>(std::chrono::duration<double>(seconds));
  const std::size_t colon = seeds.find(':');
  const std::uint64_t from = std::stoull(seeds), count = std::stoull(seeds.substr(colon + 1));
  const auto began = std::chrono::steady_clock::now();
  std::uint64_t played = 0, failed = 0, requests = 0, served = 0, history = 0;
  Checks::Counts sum;
  for (std::uint64_t seed = from; seed < from + count && (all || failed == 0); ++seed) {
    const std::vector<Fault> faults = SystemFaults(seed, options);
    const SystemResult result = PlaySystem(seed, options, faults);
    ++played;
    requests += result.requests, served += result.served, history ^= result.history;
    sum.acts += result.counts.acts, sum.admitted += result.counts.admitted;
    sum.credited += result.counts.credited, sum.over_budget += result.counts.over_budget;
    sum.spilled += result.counts.spilled;
    if (result.broken.empty()) continue;
    ++failed;
    Report(seed, options, faults, !whole);
  }
  const auto number = [](std::uint64_t figure) { return static_cast<unsigned long long>(figure); };
  std::printf(
      "seeds=%llu failed=%llu requests=%llu served=%llu spilled=%llu admitted=%llu credited=%llu "
      "over_budget=%llu acts=%llu virtual=%.0f s history=%016llx in %.1f s\n",
      number(played), number(failed), number(requests), number(served), number(sum.spilled),
      number(sum.admitted), number(sum.credited), number(sum.over_budget), number(sum.acts),
      static_cast<double>(played) * std::chrono::duration<double>(options.length + kDrain).count(),
      number(history), std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count());
  return failed == 0 ? 0 : 1;
}
