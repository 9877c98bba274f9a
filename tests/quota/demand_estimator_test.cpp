// SPDX-License-Identifier: Apache-2.0
#include "quota/demand_estimator.h"

#include <gtest/gtest.h>

#include <random>

namespace load_balancer::quota {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Charges requests of a Poisson process and reads the estimate every 50 ms.
class DemandEstimatorTest : public testing::Test {
 protected:
  // Runs until `end`. Calls `on_estimate` with each estimate, in requests per second.
  template <typename OnEstimate>
  void RunTraffic(double per_s, Span end, OnEstimate on_estimate) {
    for (; now_ - Time{} < end; now_ += DemandEstimator::kBinWidth) {
      for (int n = std::poisson_distribution<>(per_s / 20)(random_); n > 0; --n)
        demand_.Add(now_ + DemandEstimator::kBinWidth / 2, kUnit);
      on_estimate(static_cast<double>(demand_.Estimate(now_ + DemandEstimator::kBinWidth - milliseconds(1))) /
                  kUnit);
    }
  }

  std::mt19937_64 random_{1};
  Time now_;
  DemandEstimator demand_;
};

TEST_F(DemandEstimatorTest, IsSteadyForSparseTraffic) {
  for (const double per_s : {2.0, 5.0, 20.0}) {
    const Span from = now_ - Time{};
    RunTraffic(per_s, from + seconds(8), [](double) {});
    int far_off = 0, estimates = 0;
    RunTraffic(per_s, from + seconds(200), [&](double estimate) {
      ++estimates;
      far_off += std::abs(estimate - per_s) > 0.75 * per_s;
    });
    EXPECT_LT(far_off, estimates / 20) << per_s;
  }
}

TEST_F(DemandEstimatorTest, IsSmallForASingleRequest) {
  demand_.Add(now_, kUnit);
  EXPECT_LE(demand_.Estimate(now_), 5 * kUnit);
}

TEST_F(DemandEstimatorTest, FollowsAShiftOfHeavyTrafficWithin200Ms) {
  for (int round = 0; round < 10; ++round) {
    const Span from = now_ - Time{};
    double last = 0;
    const auto store = [&](double estimate) { last = estimate; };
    RunTraffic(20, from + seconds(5), store);
    RunTraffic(600, from + seconds(5) + milliseconds(250), store);
    EXPECT_NEAR(last, 600, 250);
    RunTraffic(600, from + seconds(10), store);
    EXPECT_NEAR(last, 600, 120);
    RunTraffic(0, from + seconds(10) + milliseconds(250), store);
    EXPECT_EQ(last, 0);
  }
}

TEST_F(DemandEstimatorTest, IsZeroAfterASilence) {
  struct Row {
    double per_s;
    Span silence;
  };
  for (const auto& [per_s, silence] :
       {Row{2, seconds(8)}, Row{10, milliseconds(1600)}, Row{30, milliseconds(500)}}) {
    const Span from = now_ - Time{};
    double last = 0;
    RunTraffic(per_s, from + seconds(20), [](double) {});
    RunTraffic(0, from + seconds(20) + silence, [&](double estimate) { last = estimate; });
    EXPECT_EQ(last, 0) << per_s;
  }
}

}  // namespace
}  // namespace load_balancer::quota
