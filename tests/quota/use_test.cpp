// SPDX-License-Identifier: Apache-2.0
//
// How much of a budget is spent where there is demand for it, on the model.
#include <gtest/gtest.h>

#include "model/quota/gateways.h"

namespace load_balancer::model {
namespace {

using quota::kUnit;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kPerS = 300;
constexpr Moment kWarm = seconds(12);  // voters that are new keep silent for a term

std::shared_ptr<quota::Budgets> Sample(double minimums) {
  auto budgets = std::make_shared<quota::Budgets>();
  budgets->revision = 1;
  quota::Budget& budget = budgets->partners["isar"];
  budget.rate = static_cast<quota::MilliUnits>(kPerS) * kUnit;
  budget.burst = 2 * budget.rate;
  for (const char* site : {"s0", "s1", "s2"})
    budget.reserved_minimums[site] = static_cast<quota::MilliUnits>(minimums * kPerS / 3) * kUnit;
  return budgets;
}

GatewaysOptions Options(std::uint64_t seed) {
  GatewaysOptions options;
  options.seed = seed;
  // Clocks as real ones are: the bound holds for 100 ms over 3 s, of which a thirtieth of the budget is kept.
  options.clocks_apart = 0.001;
  return options;
}

void Wide(Gateways& gateways) {
  Link wide;
  wide.min_delay = milliseconds(8);
  wide.max_delay = milliseconds(15);
  gateways.world().network().SetInterSite(wide);
}

// Of the budget, over a span.
double SpentOver(Gateways& gateways, Moment span) {
  gateways.ClearTallies();
  gateways.world().RunUntil(gateways.world().now() + span);
  return static_cast<double>(gateways.tallies().at("isar").spent) / kUnit / kPerS /
         std::chrono::duration<double>(span).count();
}

// All demand moves from one gateway to one of another site, with no reserved minimums, some and many.
TEST(QuotaUse, Spends95PercentFrom2SecondsAfterAShift) {
  for (const double minimums : {0.0, 0.4, 0.9})
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      Gateways gateways(Options(seed), Sample(minimums));
      Wide(gateways);
      gateways.SetLoad(0, "isar", 3 * kPerS);
      gateways.world().RunUntil(kWarm);
      for (const std::size_t to : {4, 8, 1}) {
        for (std::size_t i = 0; i < gateways.size(); ++i)
          gateways.SetLoad(i, "isar", i == to ? 3 * kPerS : 0);
        gateways.world().RunUntil(gateways.world().now() + seconds(2));
        EXPECT_GE(SpentOver(gateways, seconds(4)), 0.95) << "minimums " << minimums << " seed " << seed;
      }
    }
}

TEST(QuotaUse, HasTheReservedMinimumsWithoutAnAllocator) {
  Gateways gateways(Options(1), Sample(0.6));
  for (std::size_t i = 0; i < gateways.size(); ++i) gateways.SetLoad(i, "isar", kPerS);
  gateways.world().network().SetDefault({1.0});
  gateways.world().RunUntil(milliseconds(2200));
  EXPECT_NEAR(SpentOver(gateways, seconds(4)), 0.6 * 3000 / 3100, 0.02);
}

// Of a minute in which the holder dies and does not come back, against a minute without.
TEST(QuotaUse, LosesLessThan5PercentOfAMinuteWithAnAllocator) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    Gateways gateways(Options(seed), Sample(0));
    Wide(gateways);
    for (const std::size_t i : {1, 4, 7}) gateways.SetLoad(i, "isar", kPerS);
    gateways.world().RunUntil(kWarm);
    const double before = SpentOver(gateways, seconds(20));
    const auto holder = gateways.Holder(quota::AllocatorOf("isar", 2));
    ASSERT_TRUE(holder);
    gateways.world().Crash(*holder);
    EXPECT_GE(SpentOver(gateways, seconds(60)), before - 0.05) << "seed " << seed;
    EXPECT_GE(before, 0.95);
  }
}

}  // namespace
}  // namespace load_balancer::model
