// SPDX-License-Identifier: Apache-2.0
//
// Worth served by a federation in virtual time with spill off, random, by estimates and all-knowing, for the
// same requests, side by side. All sites carry 60 % first; then the scenario begins and is counted from its
// first moment, or from a stated time after it. Prints a Markdown table.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <array>
#include <cstdio>
#include <numeric>
#include <string>
#include <vector>

#include "model/overflow/federation.h"

namespace {

using namespace load_balancer::model;

constexpr std::array kStrategies{Strategy::kOff, Strategy::kRandom, Strategy::kEstimates, Strategy::kInformed,
                                 Strategy::kAllKnowing};
constexpr std::chrono::seconds kBefore{20}, kDrain{5};

struct Scenario {
  const char* name;
  void (*begin)(SpillFederation&);
};

const std::array<Scenario, 3> kScenarios{{
    {"one at 150 %", [](SpillFederation& f) { f.SetLoad(0, 1.5); }},
    {"one of three lost",
     [](SpillFederation& f) {
       for (std::size_t s = 0; s < std::max<std::size_t>(1, f.options().sites / 3); ++s)
         f.servers(s).Resize(0);
     }},
    {"all at 110 %",
     [](SpillFederation& f) {
       for (std::size_t s = 0; s < f.options().sites; ++s) f.SetLoad(s, 1.1);
     }},
}};

Tally Run(const Scenario& scenario, SpillFederationOptions options, std::chrono::seconds skipped,
          std::chrono::seconds counted) {
  SpillFederation federation(options);
  for (std::size_t s = 0; s < options.sites; ++s) federation.SetLoad(s, 0.6);
  federation.world().RunUntil(kBefore);
  scenario.begin(federation);
  federation.world().RunUntil(kBefore + skipped);
  federation.StartCount();
  federation.world().RunUntil(kBefore + skipped + counted);
  for (std::size_t s = 0; s < options.sites; ++s) federation.SetLoad(s, 0);
  federation.world().RunUntil(kBefore + skipped + counted + kDrain);
  return federation.Sum();
}

// `gains` in per cent, one a seed.
void PrintRow(std::size_t sites, const char* scenario, const std::array<Tally, kStrategies.size()>& sums,
              const std::vector<double>& gains) {
  std::printf("| %zu | %s |", sites, scenario);
  for (const Tally& sum : sums) std::printf(" %.4f |", sum.served() / sum.offered);
  if (gains.empty()) {
    std::printf(" none to gain |");
  } else {
    const double mean = std::accumulate(gains.begin(), gains.end(), 0.0) / static_cast<double>(gains.size());
    const auto [least, most] = std::minmax_element(gains.begin(), gains.end());
    std::printf(" %.1f %% (%.1f to %.1f) |", mean, *least, *most);
  }
  std::printf(" %.1f %% |\n",
              100 * static_cast<double>(sums[2].spilled) / static_cast<double>(sums[2].asked));
}

void PrintCauses(const Tally& sum) {
  for (int i = 0; i < load_balancer::overflow::kWhys; ++i)
    if (const double lost = sum.lost.at(static_cast<std::size_t>(i)) / sum.offered; lost > 0)
      std::printf("    %.4f %s\n", lost,
                  std::string(Name(static_cast<load_balancer::overflow::Why>(i))).c_str());
  std::printf("    %.4f answered past its aim\n", sum.late / sum.offered);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Worth served with spill off, random, by estimates and all-knowing");
  std::vector<std::size_t> sites{2, 5, 20};
  int seconds = 120, skip = 0, seeds = 5, cores = 32, slack = 200;
  app.add_option("--sites", sites, "numbers of sites");
  app.add_option("--seconds", seconds, "counted of each run");
  app.add_option("--skip", skip, "seconds from the change on that are not counted");
  app.add_option("--seeds", seeds, "runs of each");
  app.add_option("--cores", cores, "of each site");
  app.add_option("--slack-ms", slack, "of a share");
  bool causes = false;
  app.add_flag("--causes", causes,
               "after each row, what the estimates lose by, in parts of the worth offered");
  CLI11_PARSE(app, argc, argv);

  std::printf(
      "| sites | scenario | off | random | estimates | informed | all-knowing | gain of estimates (least to "
      "most) | "
      "spilled |\n");
  std::printf("| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (const std::size_t count : sites)
    for (const Scenario& scenario : kScenarios) {
      std::array<Tally, kStrategies.size()> sums;
      std::vector<double> gains;
      for (int seed = 1; seed <= seeds; ++seed) {
        std::array<double, kStrategies.size()> served{};
        for (std::size_t i = 0; i < kStrategies.size(); ++i) {
          SpillFederationOptions options;
          options.sites = count;
          options.cores = cores;
          options.spill.slack = std::chrono::milliseconds(slack);
          options.strategy = kStrategies[i];
          options.seed = static_cast<std::uint64_t>(seed);
          const Tally tally =
              Run(scenario, options, std::chrono::seconds(skip), std::chrono::seconds(seconds));
          served[i] = tally.served();
          sums[i].Add(tally);
        }
        if (const double most = served[4] - served[0]; most > 0.001 * sums[0].offered / seed)
          gains.push_back(100 * (served[2] - served[0]) / most);
      }
      PrintRow(count, scenario.name, sums, gains);
      if (causes) PrintCauses(sums[2]);
      std::fflush(stdout);
    }
  return 0;
}
