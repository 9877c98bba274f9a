// SPDX-License-Identifier: Apache-2.0
//
// Cold servers under the sum of many processes that share nothing: drawn days with bursts, clients that come
// again, failing servers, processes that restart and unequal traffic. COLD_SEEDS plays more days a test,
// COLD_FIRST_SEED others, COLD_REPORT prints a line a day.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "fleet_day.h"

namespace load_balancer::cold {
namespace {

constexpr std::uint64_t kSeeds = 40, kFirstSeed = 2026120201;

std::uint64_t FromEnvironment(const char* name, std::uint64_t otherwise) {
  const char* text = std::getenv(name);
  return text ? std::strtoull(text, nullptr, 10) : otherwise;
}

struct Case {
  const char* name;
  Deployment deployment;
  std::size_t processes;
};

class ColdFleet : public ::testing::TestWithParam<Case> {};

TEST_P(ColdFleet, IsNotPushedOver) {
  const std::uint64_t first = FromEnvironment("COLD_FIRST_SEED", kFirstSeed);
  const std::uint64_t seeds = FromEnvironment("COLD_SEEDS", kSeeds);
  const bool report = std::getenv("COLD_REPORT");
  int broken = 0, falls = 0;
  double worst = 0, in_time = 0;
  std::size_t to_cold = 0;
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    const Plan plan = DrawPlan(GetParam().deployment, GetParam().processes, seed);
    const Verdict day = FleetDay(plan, seed).Play();
    EXPECT_FALSE(day.broken) << "seed " << seed << ", " << day.worst << " of what it may get: " << day.where;
    EXPECT_GT(day.to_cold, 20u) << "seed " << seed << ": cold servers must be used at all";
    broken += day.broken, falls += day.falls, to_cold += day.to_cold;
    worst = std::max(worst, day.worst), in_time += day.in_time();
    if (report)
      std::printf("%s seed %llu worst %.3f falls %d%s in time %.4f to cold %zu: %s\n", GetParam().name,
                  static_cast<unsigned long long>(seed), day.worst, day.falls, day.broken ? " BROKEN" : "",
                  day.in_time(), day.to_cold, day.where.c_str());
  }
  std::printf("%s: %d of %llu days broken, %d servers fell, worst %.3f, in time %.4f, to cold %zu\n",
              GetParam().name, broken, static_cast<unsigned long long>(seeds), falls, worst,
              in_time / static_cast<double>(seeds), to_cold);
}

INSTANTIATE_TEST_SUITE_P(, ColdFleet,
                         ::testing::Values(Case{"ManyCores3", kManyCores, 3},
                                           Case{"ManyCores10", kManyCores, 10},
                                           Case{"ManyCores30", kManyCores, 30}, Case{"OneCore3", kOneCore, 3},
                                           Case{"OneCore10", kOneCore, 10}, Case{"OneCore30", kOneCore, 30}),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace load_balancer::cold
