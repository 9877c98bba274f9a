// SPDX-License-Identifier: Apache-2.0
#include "quota/demand_estimator.h"

#include <gtest/gtest.h>

#include <random>

namespace load_balancer::quota {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Requests of a Poisson process, and what is estimated each 50 ms.
class DemandEstimatorTest : public testing::Test {
 protected:
  // Until `end`; `see` gets each estimate, in requests a second.
  template <typename See>
  void Play(double per_s, Span end, See see) {
    for (; now_ - Time{} < end; now_ += DemandEstimator::kBinWidth) {
      for (int n = std::poisson_distribution<>(per_s / 20)(random_); n > 0; --n)
        demand_.Add(now_ + DemandEstimator::kBinWidth / 2, kUnit);
      see(static_cast<double>(demand_.Estimate(now_ + DemandEstimator::kBinWidth - milliseconds(1))) / kUnit);
    }
  }

  std::mt19937_64 random_{1};
  Time now_;
  DemandEstimator demand_;
};

TEST_F(DemandEstimatorTest, OfSparseTrafficIsSteady) {
  for (const double per_s : {2.0, 5.0, 20.0}) {
    const Span from = now_ - Time{};
    Play(per_s, from + seconds(8), [](double) {});
    int far = 0, all = 0;
    Play(per_s, from + seconds(200), [&](double estimate) {
      ++all;
      far += std::abs(estimate - per_s) > 0.75 * per_s;
    });
    EXPECT_LT(far, all / 20) << per_s;
  }
}

TEST_F(DemandEstimatorTest, OfOneRequestIsSmall) {
  demand_.Add(now_, kUnit);
  EXPECT_LE(demand_.Estimate(now_), 5 * kUnit);
}

TEST_F(DemandEstimatorTest, FollowsAShiftOfHeavyTrafficWithin200Ms) {
  for (int round = 0; round < 10; ++round) {
    const Span from = now_ - Time{};
    double last = 0;
    const auto keep = [&](double estimate) { last = estimate; };
    Play(20, from + seconds(5), keep);
    Play(600, from + seconds(5) + milliseconds(250), keep);
    EXPECT_NEAR(last, 600, 250);
    Play(600, from + seconds(10), keep);
    EXPECT_NEAR(last, 600, 120);
    Play(0, from + seconds(10) + milliseconds(250), keep);
    EXPECT_EQ(last, 0);
  }
}

TEST_F(DemandEstimatorTest, EndsWithSilence) {
  struct Row {
    double per_s;
    Span by;
  };
  for (const auto& [per_s, by] :
       {Row{2, seconds(8)}, Row{10, milliseconds(1600)}, Row{30, milliseconds(500)}}) {
    const Span from = now_ - Time{};
    double last = 0;
    Play(per_s, from + seconds(20), [](double) {});
    Play(0, from + seconds(20) + by, [&](double estimate) { last = estimate; });
    EXPECT_EQ(last, 0) << per_s;
  }
}

}  // namespace
}  // namespace load_balancer::quota
