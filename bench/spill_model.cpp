// SPDX-License-Identifier: Apache-2.0
//
// Compares the strategies of overflow between sites on the same requests, in virtual time: off, random, by
// estimates, informed, and by an oracle that knows the state of all sites ("all-knowing"). Prints a Markdown
// table with the fraction of the offered priority weight that each of them serves. All sites have a load of
// 60 % before the scenario begins. Requests are counted from its beginning, or from a given time after it.
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
                                 Strategy::kOracle};
constexpr std::chrono::seconds kBefore{20}, kDrain{5};

// Scenario changes the load or the cores of the sites.
struct Scenario {
  const char* name;
  void (*begin)(OverflowFederation&);
};

const std::array<Scenario, 3> kScenarios{{
    {"one at 150 %", [](OverflowFederation& f) { f.SetLoad(0, 1.5); }},
    {"one of three lost",
     [](OverflowFederation& f) {
       for (std::size_t s = 0; s < std::max<std::size_t>(1, f.options().sites / 3); ++s)
         f.servers(s).Resize(0);
     }},
    {"all at 110 %",
     [](OverflowFederation& f) {
       for (std::size_t s = 0; s < f.options().sites; ++s) f.SetLoad(s, 1.1);
     }},
}};

// Runs the scenario. Counts requests that arrive in the `counted` seconds after the `skipped` ones.
Tally Run(const Scenario& scenario, OverflowFederationOptions options, std::chrono::seconds skipped,
          std::chrono::seconds counted) {
  OverflowFederation federation(options);
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

// Prints the row of one scenario. `gains` holds the gain of the estimates for each seed, in per cent.
void PrintRow(std::size_t sites, const char* scenario, const std::array<Tally, kStrategies.size()>& sums,
              const std::vector<double>& gains) {
  std::printf("| %zu | %s |", sites, scenario);
  for (const Tally& sum : sums) std::printf(" %.4f |", sum.served() / sum.offered);
  if (gains.empty()) {
    std::printf(" none to gain |");
  } else {
    const double mean = std::accumulate(gains.begin(), gains.end(), 0.0) / static_cast<double>(gains.size());
    const auto [min, max] = std::minmax_element(gains.begin(), gains.end());
    std::printf(" %.1f %% (%.1f to %.1f) |", mean, *min, *max);
  }
  std::printf(" %.1f %% |\n",
              100 * static_cast<double>(sums[2].forwarded) / static_cast<double>(sums[2].received));
}

// Prints the fraction of the offered weight that was not served, by reason.
void PrintCauses(const Tally& sum) {
  for (int i = 0; i < load_balancer::overflow::kReasonCount; ++i)
    if (const double lost = sum.lost.at(static_cast<std::size_t>(i)) / sum.offered; lost > 0)
      std::printf("    %.4f %s\n", lost,
                  std::string(Name(static_cast<load_balancer::overflow::RejectReason>(i))).c_str());
  std::printf("    %.4f answered past the latency objective\n", sum.late / sum.offered);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Priority weight served with overflow off, random, by estimates, informed and all-knowing");
  std::vector<std::size_t> sites{2, 5, 20};
  int seconds = 120, skip = 0, seeds = 5, cores = 32, slack = 200;
  app.add_option("--sites", sites, "numbers of sites");
  app.add_option("--seconds", seconds, "seconds of each run that are counted");
  app.add_option("--skip", skip, "seconds after the beginning of the scenario that are not counted");
  app.add_option("--seeds", seeds, "number of runs of each scenario");
  app.add_option("--cores", cores, "cores of each site");
  app.add_option("--slack-ms", slack,
                 "depth of the token buckets, as the time in ms that their rate takes to fill them");
  bool causes = false;
  app.add_flag("--causes", causes,
               "print the weight that the estimates lose by reason after each row, as a fraction of the "
               "weight offered");
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
          OverflowFederationOptions options;
          options.sites = count;
          options.cores = cores;
          options.overflow_options.slack = std::chrono::milliseconds(slack);
          options.strategy = kStrategies[i];
          options.seed = static_cast<std::uint64_t>(seed);
          const Tally tally =
              Run(scenario, options, std::chrono::seconds(skip), std::chrono::seconds(seconds));
          served[i] = tally.served();
          sums[i].Add(tally);
        }
        if (const double max_gain = served[4] - served[0]; max_gain > 0.001 * sums[0].offered / seed)
          gains.push_back(100 * (served[2] - served[0]) / max_gain);
      }
      PrintRow(count, scenario.name, sums, gains);
      if (causes) PrintCauses(sums[2]);
      std::fflush(stdout);
    }
  return 0;
}
