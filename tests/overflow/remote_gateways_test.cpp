// SPDX-License-Identifier: Apache-2.0
#include "overflow/remote_gateways.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "fixture.h"
#include "overflow/token_bucket.h"

namespace load_balancer::overflow {
namespace {

using std::chrono::milliseconds;

RC_GTEST_PROP(TokenBucket, AdmitsNoMoreInAnyWindowThanItsRateAndDepthAllow, ()) {
  const double rate = *rc::gen::inRange(1, 1000), depth = rate * 0.05, max_work = 80;
  TokenBucket bucket(kStart);
  bucket.SetRate(kStart, rate, depth);
  std::vector<std::pair<double, double>> sent;  // s, work
  double at = 0;
  for (const int step : *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 200))) {
    at += step / 1000.0;
    const double work = 1 + *rc::gen::inRange(0, static_cast<int>(max_work));
    const Time now = kStart + std::chrono::duration_cast<Span>(std::chrono::duration<double>(at));
    // A brief drop of the estimate must not raise the level of the bucket.
    if (step % 7 == 0) bucket.SetRate(now, rate / 2, depth / 2);
    bucket.SetRate(now, rate, depth);
    if (!bucket.HasAtLeast(now, 0)) continue;
    bucket.Take(work);
    sent.emplace_back(at, work);
  }
  for (std::size_t first = 0; first < sent.size(); ++first) {
    double sum = 0;
    for (std::size_t last = first; last < sent.size(); ++last) {
      sum += sent[last].second;
      RC_ASSERT(sum <= rate * (sent[last].first - sent[first].first) + depth + max_work + 1e-3);
    }
  }
}

TEST(TokenBucket, StartsEmptyAndIsCutToASmallerDepthAtOnce) {
  TokenBucket bucket(kStart);
  bucket.SetRate(kStart, 1000, 50);
  EXPECT_FALSE(bucket.HasAtLeast(kStart, 1));
  const Time later = kStart + milliseconds(40);
  EXPECT_TRUE(bucket.HasAtLeast(later, 40));
  bucket.SetRate(later, 100, 5);
  EXPECT_FALSE(bucket.HasAtLeast(later, 5) && bucket.level() > 5);
  EXPECT_FALSE(bucket.HasAtLeast(later, 6)) << "the level never exceeds the depth";
  EXPECT_TRUE(bucket.HasAtLeast(later, 5));
  bucket.Take(40);
  EXPECT_FALSE(bucket.HasAtLeast(later + milliseconds(350), 0))
      << "the deficit has just been refilled, and the level is zero";
  EXPECT_TRUE(bucket.HasAtLeast(later + milliseconds(351), 0));
  bucket.SetRate(later + milliseconds(390), 0, 0);
  EXPECT_FALSE(bucket.HasAtLeast(later + milliseconds(9000), 1));
}

struct Ejection : testing::Test {
  std::mt19937_64 random{3};
  RemoteGateways gateways{MakeSites(3, 2), "a", random};
  const RemoteGateway one{"b", "1"};
  // Records failures until the gateway is ejected. Returns how many failures that took, or 0 if 99 were
  // not enough.
  int Eject(Time now) {
    for (int failures = 1; failures < 100; ++failures)
      if (gateways.RecordResult(now, one, false)) return failures;
    return 0;
  }
  // Returns how long the gateway stays ejected, in steps of 10 ms.
  milliseconds EjectionTime(Time now) {
    milliseconds time{0};
    for (; !gateways.InService(now + time, one); time += milliseconds(10)) {
    }
    return time;
  }
};

TEST_F(Ejection, LastsLongerEachTimeAndIsShorterAgainAfterSuccesses) {
  Time now = kStart;
  for (int multiplier : {1, 2, 3}) {
    EXPECT_EQ(Eject(now), RemoteGateways::kRequestVolume);
    const milliseconds time = EjectionTime(now);
    EXPECT_GE(time, RemoteGateways::kBaseEjectionTime * multiplier * 3 / 4);
    EXPECT_LE(time, RemoteGateways::kBaseEjectionTime * multiplier * 5 / 4 + milliseconds(10));
    now += time;
    EXPECT_EQ(gateways.EndEjections(now), std::vector{one});
    EXPECT_TRUE(gateways.EndEjections(now).empty());
  }
  for (int interval = 0; interval < 5; ++interval) {
    now += RemoteGateways::kInterval;
    gateways.RecordResult(now, one, true);
  }
  now += RemoteGateways::kInterval;
  Eject(now);
  EXPECT_LE(EjectionTime(now), RemoteGateways::kBaseEjectionTime * 5 / 4 + milliseconds(10));
}

TEST_F(Ejection, NeedsFailuresInHalfOfTheResultsOfAnInterval) {
  for (int i = 0; i < 20; ++i) EXPECT_FALSE(gateways.RecordResult(kStart, one, i % 5 != 0));
  for (int i = 0; i < 4; ++i)
    EXPECT_FALSE(gateways.RecordResult(kStart + RemoteGateways::kInterval * 2, one, false));
  EXPECT_FALSE(gateways.RecordResult(kStart + RemoteGateways::kInterval * 4, one, false))
      << "the result belongs to another interval";
}

TEST_F(Ejection, OnlyPresentGatewaysOfOtherSitesAreInService) {
  EXPECT_TRUE(gateways.InService(kStart, "a").empty());
  EXPECT_EQ(gateways.InService(kStart, "b").size(), 2u);
  gateways.SetPresent(one, false);
  EXPECT_EQ(gateways.InService(kStart, "b"), (std::vector<RemoteGateway>{{"b", "2"}}));
  gateways.Configure(MakeSites(2, 1), "a");
  EXPECT_TRUE(gateways.InService(kStart, "b").empty())
      << "the presence of gateways that stay configured is kept";
  EXPECT_TRUE(gateways.InService(kStart, "c").empty());
}

TEST(AffinityTable, KeepsKeysForTheirTtlAndUpToItsMaximum) {
  AffinityTable table;
  const RemoteGateway b{"b", "1"}, c{"c", "1"};
  table.Record(kStart, 0, b, milliseconds(10));
  EXPECT_EQ(table.size(), 0u);
  table.Record(kStart, 5, b, milliseconds(10));
  table.Record(kStart + milliseconds(5), 5, c, milliseconds(10));
  EXPECT_EQ(*table.Find(kStart + milliseconds(14), 5), c);
  EXPECT_EQ(table.Find(kStart + milliseconds(15), 5), nullptr);
  for (std::uint64_t key = 1; key <= 2 * AffinityTable::kMaxKeys; ++key)
    table.Record(kStart, key, b, milliseconds(10));
  EXPECT_EQ(table.size(), AffinityTable::kMaxKeys);
  table.Expire(kStart + milliseconds(20));
  EXPECT_EQ(table.size(), 0u);
}

}  // namespace
}  // namespace load_balancer::overflow
