// SPDX-License-Identifier: Apache-2.0
//
// Checks in the model how much of a budget is spent while demand exceeds the budget.
#include <gtest/gtest.h>

#include "model/quota/gateways.h"

namespace load_balancer::model {
namespace {

using quota::kUnit;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kRequestsPerSecond = 300;
constexpr Moment kWarmup = seconds(12);  // includes the first lease term, in which new voters cast no vote

// Returns a budget whose reserved minimums are equal for all sites and add up to the fraction `minimums` of
// the rate.
std::shared_ptr<quota::Budgets> SampleBudgets(double minimums) {
  auto budgets = std::make_shared<quota::Budgets>();
  budgets->revision = 1;
  quota::Budget& budget = budgets->partners["isar"];
  budget.rate = static_cast<quota::MilliUnits>(kRequestsPerSecond) * kUnit;
  budget.burst = 2 * budget.rate;
  for (const char* site : {"s0", "s1", "s2"})
    budget.reserved_minimums[site] =
        static_cast<quota::MilliUnits>(minimums * kRequestsPerSecond / 3) * kUnit;
  return budgets;
}

GatewaysOptions Options(std::uint64_t seed) {
  GatewaysOptions options;
  options.seed = seed;
  // Clocks are as exact as those of real machines. The allowed drift of 100 ms in 3 s leaves a thirtieth of
  // the budget unused.
  options.clock_error = 0.001;
  return options;
}

// Sets the network delay between sites.
void SetIntersiteDelay(Gateways& gateways) {
  Link link;
  link.min_delay = milliseconds(8);
  link.max_delay = milliseconds(15);
  gateways.world().network().SetInterSite(link);
}

// Runs for `span` and returns the fraction of the budget that was spent.
double SpentFraction(Gateways& gateways, Moment span) {
  gateways.ClearTallies();
  gateways.world().RunUntil(gateways.world().now() + span);
  return static_cast<double>(gateways.tallies().at("isar").spent) / kUnit / kRequestsPerSecond /
         std::chrono::duration<double>(span).count();
}

// All demand moves from one gateway to another. The reserved minimums add up to none, some or most of the
// budget.
TEST(QuotaUse, Spends95PercentFrom2SecondsAfterAShift) {
  for (const double minimums : {0.0, 0.4, 0.9})
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      Gateways gateways(Options(seed), SampleBudgets(minimums));
      SetIntersiteDelay(gateways);
      gateways.SetLoad(0, "isar", 3 * kRequestsPerSecond);
      gateways.world().RunUntil(kWarmup);
      for (const std::size_t to : {4, 8, 1}) {
        for (std::size_t i = 0; i < gateways.size(); ++i)
          gateways.SetLoad(i, "isar", i == to ? 3 * kRequestsPerSecond : 0);
        gateways.world().RunUntil(gateways.world().now() + seconds(2));
        EXPECT_GE(SpentFraction(gateways, seconds(4)), 0.95) << "minimums " << minimums << " seed " << seed;
      }
    }
}

TEST(QuotaUse, SpendsTheReservedMinimumsWithoutAnAllocator) {
  Gateways gateways(Options(1), SampleBudgets(0.6));
  for (std::size_t i = 0; i < gateways.size(); ++i) gateways.SetLoad(i, "isar", kRequestsPerSecond);
  gateways.world().network().SetDefault({1.0});
  gateways.world().RunUntil(milliseconds(2200));
  EXPECT_NEAR(SpentFraction(gateways, seconds(4)), 0.6 * 3000 / 3100, 0.02);
}

// The holder of the lease crashes and does not restart. In the next minute, the spent fraction of the
// budget may be at most 5 percentage points lower than before the crash.
TEST(QuotaUse, LosesLessThan5PercentOfAMinuteWhenTheAllocatorCrashes) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    Gateways gateways(Options(seed), SampleBudgets(0));
    SetIntersiteDelay(gateways);
    for (const std::size_t i : {1, 4, 7}) gateways.SetLoad(i, "isar", kRequestsPerSecond);
    gateways.world().RunUntil(kWarmup);
    const double before = SpentFraction(gateways, seconds(20));
    const auto holder = gateways.Holder(quota::AllocatorOf("isar", 2));
    ASSERT_TRUE(holder);
    gateways.world().Crash(*holder);
    EXPECT_GE(SpentFraction(gateways, seconds(60)), before - 0.05) << "seed " << seed;
    EXPECT_GE(before, 0.95);
  }
}

}  // namespace
}  // namespace load_balancer::model
