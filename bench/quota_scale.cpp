// SPDX-License-Identifier: Apache-2.0
//
// Quotas of many partners over many gateways in virtual time, beside the budget divided by gateways and one
// central counter asked for each request, for the same requests. Prints two Markdown tables: what was let
// through, and what it took.
#include <time.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <array>
#include <cstdio>
#include <string>
#include <vector>

#include "model/quota/scale/run.h"

namespace {

using namespace load_balancer::model::scale;

struct Named {
  const char* name;
  Scenario scenario;
};
constexpr std::array kScenarios{Named{"steady", Scenario::kSteady}, Named{"moving", Scenario::kMoving},
                                Named{"shifts", Scenario::kShifts}, Named{"death", Scenario::kHolderCrash},
                                Named{"partition", Scenario::kPartition}};

// Sites of about the same size, as many of them as there are gateways at one, up to 20.
std::size_t SitesOf(std::size_t gateways) {
  std::size_t sites = 1;
  for (std::size_t n = 1; n <= 20 && n * n <= gateways; ++n)
    if (gateways % n == 0) sites = n;
  return sites;
}

// Processor time of this thread, so that others on the machine do not count.
double ProcessorSeconds() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) + 1e-9 * static_cast<double>(now.tv_nsec);
}

struct Row {
  std::size_t gateways, partners;
  const char* name;
  RunOptions options;
  RunResult figures;
  double took_s = 0;
};

std::string Ratios(const std::array<double, kLimiterCount>& values, double of, double scale) {
  char text[96];
  std::snprintf(text, sizeof text, "%.3f / %.3f / %.3f", scale * values[kProduct] / of,
                scale * values[kStatic] / of, scale * values[kCentral] / of);
  return text;
}

void PrintShares(const std::vector<Row>& rows) {
  std::printf(
      "Of what an all-knowing gate lets through; each cell: quotas / static division / central counter.\n\n"
      "| gateways | partners | scenario | overspent | spent | Jain's index | refused in error | budget lost, "
      "s "
      "| central: way, ms | central: no answer |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (const auto& [gateways, partners, name, options, figures, took] : rows) {
    const double ideal = std::max(figures.admitted[kIdeal], 1.0);
    const double before = figures.admitted_before / std::max(figures.ideal_before, 1.0);
    const std::string lost =
        figures.ideal_before > 0
            ? std::to_string((before * ideal - figures.admitted[kProduct]) / figures.budget).substr(0, 5)
            : "";
    std::printf("| %zu | %zu | %s | %.3f | %s | %s | %s | %s | %.1f | %.3f |\n", gateways, partners, name,
                figures.excess, Ratios(figures.admitted, ideal, 1).c_str(),
                Ratios(figures.fairness, 1, 1).c_str(), Ratios(figures.wrongly_rejected, ideal, 1).c_str(),
                lost.c_str(), figures.central_delay_ms,
                figures.central_unreachable / std::max(figures.requests, 1.0));
  }
}

void PrintCosts(const std::vector<Row>& rows) {
  std::printf(
      "\nA second, of one gateway and of one allocator, in the mean; processor time for a virtual second.\n\n"
      "| gateways | partners | scenario | asked of a gateway | a gateway sends | entries each | and bytes | "
      "a "
      "allocator sends | entries each | and bytes | charge, ns | gateway, ms | allocator, ms | run took, s "
      "|\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (const auto& [gateways, partners, name, options, figures, took] : rows) {
    const auto all = static_cast<double>(gateways) * figures.seconds;
    const auto duties = static_cast<double>(std::min(options.allocators, partners)) * figures.seconds;
    const auto each = [](std::uint64_t entries, std::uint64_t messages) {
      return static_cast<double>(entries) / std::max(static_cast<double>(messages), 1.0);
    };
    const Costs &g = figures.gateways, &t = figures.allocators;
    std::printf(
        "| %zu | %zu | %s | %.1f | %.2f | %.2f | %.0f | %.1f | %.2f | %.0f | %.0f | %.3f | %.2f | %.1f |\n",
        gateways, partners, name, figures.requests / all, static_cast<double>(g.messages) / all,
        each(g.entries, g.messages), static_cast<double>(g.bytes) / all,
        static_cast<double>(t.messages) / duties, each(t.entries, t.messages),
        static_cast<double>(t.bytes) / duties,
        1e9 * g.charge_cpu_s / std::max(static_cast<double>(g.charges), 1.0), 1e3 * g.other_cpu_s / all,
        1e3 * t.other_cpu_s / duties, took);
  }
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Quotas beside a static division and a central counter, for the same requests");
  std::vector<std::size_t> gateways{9, 100, 1000}, partners{3, 100, 10000};
  std::vector<std::string> scenarios{"steady", "moving", "shifts", "death", "partition"};
  int seconds = 20;
  std::uint64_t seed = 1;
  app.add_option("--gateways", gateways, "numbers of gateways");
  app.add_option("--partners", partners, "numbers of partners");
  app.add_option("--scenarios", scenarios, "steady, moving, shifts, death, partition");
  app.add_option("--seconds", seconds, "counted of each run, after 12 s");
  app.add_option("--seed", seed, "of the runs");
  CLI11_PARSE(app, argc, argv);

  std::vector<Row> rows;
  for (const std::size_t gateway_count : gateways)
    for (const std::size_t partner_count : partners)
      for (const Named& named : kScenarios) {
        if (std::find(scenarios.begin(), scenarios.end(), named.name) == scenarios.end()) continue;
        RunOptions options;
        options.scenario = named.scenario;
        options.sites = SitesOf(gateway_count);
        options.per_site = gateway_count / options.sites;
        options.partners = partner_count;
        // Many partners are small ones, each at few gateways.
        options.gateways_per_partner = std::min<std::size_t>(gateway_count, partner_count <= 3 ? gateway_count
                                                                            : partner_count <= 100 ? 30
                                                                                                   : 3);
        options.rate_per_gateway = partner_count <= 100 ? 20 : 2;
        options.measured = std::chrono::seconds(seconds);
        options.seed = seed;
        options.cpu_seconds = ProcessorSeconds;
        const double began = ProcessorSeconds();
        const RunResult figures = Run(options);
        rows.push_back(
            {gateway_count, partner_count, named.name, options, figures, ProcessorSeconds() - began});
      }
  PrintShares(rows);
  PrintCosts(rows);
  return 0;
}
