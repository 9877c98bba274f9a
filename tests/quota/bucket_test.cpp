// SPDX-License-Identifier: Apache-2.0
#include "quota/bucket.h"

#include <gtest/gtest.h>

#include <random>
#include <vector>

#include "quota/budget.h"
#include "quota/demand_estimator.h"

namespace load_balancer::quota {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

Time At(std::int64_t ns) { return Time(nanoseconds(ns)); }

TEST(Bucket, StartsEmptyAndAdmitsAChargeFromTheExactNanosecondOn) {
  Bucket bucket(At(0));
  bucket.SetAllocation(At(0), {3 * kUnit, 2 * kUnit});  // one request per 333,333,333 1/3 ns
  EXPECT_FALSE(bucket.Charge(At(333'333'333), kUnit));
  EXPECT_EQ(bucket.TimeUntilAvailable(At(333'333'333), kUnit), nanoseconds(1));
  EXPECT_TRUE(bucket.Charge(At(333'333'334), kUnit));
  EXPECT_EQ(bucket.TimeUntilAvailable(At(333'333'334), 3 * kUnit), std::nullopt);  // more than the depth
  EXPECT_TRUE(bucket.Charge(At(10'000'000'000), 2 * kUnit));
  EXPECT_FALSE(bucket.Charge(At(10'000'000'000), 1));
  EXPECT_FALSE(bucket.Charge(At(0), 1));  // a time before the last update adds no tokens
}

TEST(Bucket, LosesTokensThatExceedANewDepth) {
  Bucket bucket(At(0));
  bucket.SetAllocation(At(0), {100 * kUnit, 50 * kUnit});
  bucket.SetAllocation(At(1'000'000'000), {1 * kUnit, 5 * kUnit});
  bucket.SetAllocation(At(1'000'000'000), {100 * kUnit, 50 * kUnit});
  EXPECT_FALSE(bucket.Charge(At(1'000'000'000), 5 * kUnit + 1));
  EXPECT_TRUE(bucket.Charge(At(1'000'000'000), 5 * kUnit));
}

struct AdmittedRequest {
  std::int64_t at_ns;
  MilliUnits cost;
  bool credited = false;
};

// Charges, credits and changes of the allocation are drawn at random. In every window that begins and ends
// with an admission, the admitted costs must stay within rate x window + depth. Credited requests do not
// count.
TEST(Bucket, KeepsEveryWindowWithinRateAndDepthDespiteCreditsAndChanges) {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    std::mt19937_64 random(seed);
    const auto draw = [&](std::int64_t low, std::int64_t high) {
      return std::uniform_int_distribution<std::int64_t>(low, high)(random);
    };
    // All allocations have the same ratio of depth to rate, so the largest allocation bounds each window.
    const Allocation allocation{draw(1, 50) * kUnit, draw(1, 20) * kUnit};
    std::int64_t now = 0;
    Bucket bucket(At(0));
    bucket.SetAllocation(At(0), allocation);
    std::vector<AdmittedRequest> admitted;
    for (int i = 0; i < 400; ++i) {
      now += draw(0, 1) ? draw(0, 200'000'000) : draw(0, 2'000'000);
      const MilliUnits cost = draw(1, 3) * kUnit;
      if (draw(0, 19) == 0) {
        const std::int64_t tenths = draw(0, 10);
        bucket.SetAllocation(At(now), {allocation.rate * tenths / 10, allocation.depth * tenths / 10});
      }
      if (bucket.Charge(At(now), cost)) admitted.push_back({now, cost});
      if (!admitted.empty() && draw(0, 3) == 0) {
        const auto distance = std::min<std::int64_t>(draw(1, 10), std::ssize(admitted));
        AdmittedRequest& target = admitted[admitted.size() - static_cast<std::size_t>(distance)];
        if (!target.credited) bucket.Credit(At(now), At(target.at_ns), target.cost);
        target.credited = true;
      }
    }
    for (std::size_t i = 0; i < admitted.size(); ++i) {
      MilliUnits sum = 0;
      for (std::size_t j = i; j < admitted.size(); ++j) {
        if (!admitted[j].credited) sum += admitted[j].cost;
        const std::int64_t bound =
            allocation.rate * (admitted[j].at_ns - admitted[i].at_ns) + allocation.depth * 1'000'000'000;
        ASSERT_LE(sum * 1'000'000'000, bound) << "seed " << seed;
      }
    }
  }
}

TEST(Bucket, ReturnsTheWholeChargeToABucketThatWasNeverFull) {
  Bucket bucket(At(0));
  bucket.SetAllocation(At(0), {10 * kUnit, 100 * kUnit});
  ASSERT_TRUE(bucket.Charge(At(1'000'000'000), 10 * kUnit));
  bucket.Credit(At(1'100'000'000), At(1'000'000'000), 10 * kUnit);
  EXPECT_TRUE(bucket.Charge(At(1'100'000'000), 11 * kUnit));
}

TEST(Amounts, AllocationsOfABudgetAddUpToNoMoreThanTheBudget) {
  Budget budget{7 * kUnit, 5 * kUnit, Unit::kRequests, OverLimitAction::kMark, {{"muc", 2 * kUnit}}};
  Allocation sum;
  for (int i = 0; i < 3; ++i) sum = sum + AllocationForRate(budget, budget.rate / 3);
  EXPECT_LE(sum.rate, budget.rate);
  EXPECT_LE(sum.depth, budget.burst);
  EXPECT_EQ(ReservedMinimumOf(budget, "muc", 3).rate, 666);
  EXPECT_EQ(ReservedMinimumOf(budget, "aug", 3), Allocation{});
  EXPECT_EQ(SlowedRate(6000, Timings{}), 5806);  // 6000 * 3000 ms / (3000 ms + 100 ms drift), rounded down
}

// The estimate for steady Poisson traffic is close to the rate of the traffic, and follows a shift within 200
// ms.
TEST(DemandEstimator, IsCloseForSteadyTrafficAndFollowsAShiftWithin200Ms) {
  for (const auto& [before, after] : std::vector<std::pair<int, int>>{{200, 1000}, {1000, 0}, {1000, 300}}) {
    std::mt19937_64 random(7);
    DemandEstimator demand;
    std::int64_t now = 0;
    const auto run = [&](int per_s, std::int64_t until) {
      while (per_s > 0) {
        now += static_cast<std::int64_t>(std::exponential_distribution<>(per_s)(random) * 1e9);
        if (now >= until) break;
        demand.Add(At(now), kUnit);
      }
      now = until;
    };
    for (std::int64_t s = 1; s <= 20; ++s) {
      run(before, s * 1'000'000'000);
      EXPECT_NEAR(static_cast<double>(demand.Estimate(At(now))), before * 1000.0, before * 300.0);
    }
    run(after, now + 200'000'000);
    EXPECT_NEAR(static_cast<double>(demand.Estimate(At(now))), after * 1000.0, after * 350.0);
    run(0, now + 1'050'000'000);
    EXPECT_EQ(demand.Estimate(At(now)), 0);
  }
}

}  // namespace
}  // namespace load_balancer::quota
