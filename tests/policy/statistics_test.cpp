// SPDX-License-Identifier: Apache-2.0
//
// Unit tests of statistics, random numbers, session affinity, Reindexed and UsualTimeout.
#include "policy/statistics.h"

#include <gtest/gtest.h>

#include "policy/random_source.h"
#include "policy/reindex.h"
#include "policy/request.h"
#include "policy/session_affinity.h"

namespace load_balancer {
namespace {

TimePoint At(double ms) { return TimePoint(Duration(ms)); }

TEST(Statistics, BinomialTailIsTheSumOfItsTerms) {
  EXPECT_DOUBLE_EQ(BinomialTail(0, 3, 0.25), 1);
  EXPECT_NEAR(BinomialTail(2, 3, 0.5), 0.5, 1e-12);
  EXPECT_NEAR(BinomialTail(3, 3, 0.1), 0.001, 1e-12);
  EXPECT_EQ(BinomialTail(4, 3, 0.5), 0);
}

TEST(Statistics, MixBitsIsTheFinalizerOfMurmurHash3) {
  EXPECT_EQ(MixBits(0), 0u);
  EXPECT_EQ(MixBits(1), 0x514e28b7u);
}

TEST(MeanAndDeviation, AveragesTheFirstSamplesEvenlyAndLaterOnesExponentially) {
  MeanAndDeviation statistics;
  statistics.Add(10);
  EXPECT_EQ(statistics.mean(), 10);
  EXPECT_EQ(statistics.deviation(), 0) << "the first sample replaces the initial deviation";
  statistics.Add(20);
  EXPECT_EQ(statistics.mean(), 15);
  EXPECT_EQ(statistics.samples(), 2);
  for (int sample = 0; sample < 1000; ++sample) statistics.Add(40);
  EXPECT_NEAR(statistics.mean(), 40, 1e-3);
  EXPECT_NEAR(statistics.deviation(), 0, 1e-2);
}

TEST(RandomSource, IsDeterministicFromItsSeedAndUniform) {
  RandomSource first(7), second(7);
  double sum = 0;
  for (int draw = 0; draw < 10000; ++draw) {
    const double value = first.UniformReal();
    EXPECT_EQ(value, second.UniformReal());
    EXPECT_GE(value, 0);
    EXPECT_LT(value, 1);
    sum += value;
  }
  EXPECT_NEAR(sum / 10000, 0.5, 0.02);
  for (int draw = 0; draw < 100; ++draw) EXPECT_LT(first.UniformBelow(3), 3u);
}

TEST(SessionAffinity, AServerIsWarmForAKeyForFourSeconds) {
  SessionAffinity affinity;
  affinity.Record(77, 5, At(1000));
  EXPECT_TRUE(affinity.IsWarm(77, 5, At(4999)));
  EXPECT_FALSE(affinity.IsWarm(77, 5, At(5000)));
  EXPECT_FALSE(affinity.IsWarm(77, 6, At(1000)));
  EXPECT_FALSE(affinity.IsWarm(78, 5, At(1000)));
  affinity.Record(77, 5, At(4000));
  affinity.Record(78, 5, At(6000));  // the first send expires, the second does not
  EXPECT_TRUE(affinity.IsWarm(77, 5, At(6000)));
}

TEST(Reindexed, CarriesValuesOverToTheirNewIndices) {
  const std::vector<int> values{10, 20, 30};
  const auto make_new = [] { return -1; };
  EXPECT_EQ(Reindexed(values, 4, {2, -1, 0}, make_new), (std::vector<int>{30, -1, 10, -1}));
  EXPECT_EQ(Reindexed(values, 2, {3, 1}, make_new), (std::vector<int>{-1, 20})) << "3 is not a valid index";
}

TEST(UsualTimeout, IsEstablishedOnceEnoughRequestsAgree) {
  UsualTimeout timeout;
  EXPECT_FALSE(timeout.Observe(Duration(1000), false));
  for (int request = 0; request < 9; ++request) EXPECT_TRUE(timeout.Observe(Duration(1000 + request), false));
  EXPECT_FALSE(timeout.is_established());
  EXPECT_TRUE(timeout.Observe(Duration(960), false));
  EXPECT_TRUE(timeout.is_established());
  EXPECT_FALSE(timeout.Observe(Duration(500), true));
  EXPECT_TRUE(timeout.is_established()) << "a client's retry may have a shortened time-out";
  EXPECT_FALSE(timeout.Observe(Duration(500), false));
  EXPECT_FALSE(timeout.is_established());
}

}  // namespace
}  // namespace load_balancer
