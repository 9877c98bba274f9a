// SPDX-License-Identifier: Apache-2.0
#include "overflow/remote_gateways.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "fixture.h"
#include "overflow/token_bucket.h"

namespace load_balancer::overflow {
namespace {

using std::chrono::milliseconds;

RC_GTEST_PROP(Share, LetsNoMoreThroughInAnyWindowThanItsRateAndDepth, ()) {
  const double rate = *rc::gen::inRange(1, 1000), depth = rate * 0.05, most_work = 80;
  Share share(kStart);
  share.Set(kStart, rate, depth);
  std::vector<std::pair<double, double>> sent;  // s, work
  double at = 0;
  for (const int step : *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 200))) {
    at += step / 1000.0;
    const double work = 1 + *rc::gen::inRange(0, static_cast<int>(most_work));
    const Time now = kStart + std::chrono::duration_cast<Span>(std::chrono::duration<double>(at));
    // Sometimes the estimate falls for a moment, which must not leave more than before.
    if (step % 7 == 0) share.Set(now, rate / 2, depth / 2);
    share.Set(now, rate, depth);
    if (!share.Has(now, 0)) continue;
    share.Take(work);
    sent.emplace_back(at, work);
  }
  for (std::size_t first = 0; first < sent.size(); ++first) {
    double sum = 0;
    for (std::size_t last = first; last < sent.size(); ++last) {
      sum += sent[last].second;
      RC_ASSERT(sum <= rate * (sent[last].first - sent[first].first) + depth + most_work + 1e-3);
    }
  }
}

TEST(Share, StartsEmptyAndIsCutAtOnce) {
  Share share(kStart);
  share.Set(kStart, 1000, 50);
  EXPECT_FALSE(share.Has(kStart, 1));
  const Time later = kStart + milliseconds(40);
  EXPECT_TRUE(share.Has(later, 40));
  share.Set(later, 100, 5);
  EXPECT_FALSE(share.Has(later, 5) && share.level() > 5);
  EXPECT_FALSE(share.Has(later, 6)) << "no more than the depth is ever there";
  EXPECT_TRUE(share.Has(later, 5));
  share.Take(40);
  EXPECT_FALSE(share.Has(later + milliseconds(350), 0)) << "its debt is just paid off, and nothing there";
  EXPECT_TRUE(share.Has(later + milliseconds(351), 0));
  share.Set(later + milliseconds(390), 0, 0);
  EXPECT_FALSE(share.Has(later + milliseconds(9000), 1));
}

struct Ejection : testing::Test {
  std::mt19937_64 random{3};
  Neighbours neighbours{Sites(3, 2), "a", random};
  const Neighbour one{"b", "1"};
  // How many bad answers it takes.
  int Eject(Time now) {
    for (int bad = 1; bad < 100; ++bad)
      if (neighbours.Answered(now, one, false)) return bad;
    return 0;
  }
  milliseconds Out(Time now) {
    milliseconds out{0};
    for (; !neighbours.InService(now + out, one); out += milliseconds(10)) {
    }
    return out;
  }
};

TEST_F(Ejection, GrowsWhileFailuresGoOnAndFallsBackAfterwards) {
  Time now = kStart;
  for (int times : {1, 2, 3}) {
    EXPECT_EQ(Eject(now), Neighbours::kRequestVolume);
    const milliseconds out = Out(now);
    EXPECT_GE(out, Neighbours::kBaseEjectionTime * times * 3 / 4);
    EXPECT_LE(out, Neighbours::kBaseEjectionTime * times * 5 / 4 + milliseconds(10));
    now += out;
    EXPECT_EQ(neighbours.Advance(now), std::vector{one});
    EXPECT_TRUE(neighbours.Advance(now).empty());
  }
  for (int interval = 0; interval < 5; ++interval) {
    now += Neighbours::kInterval;
    neighbours.Answered(now, one, true);
  }
  now += Neighbours::kInterval;
  Eject(now);
  EXPECT_LE(Out(now), Neighbours::kBaseEjectionTime * 5 / 4 + milliseconds(10));
}

TEST_F(Ejection, NeedsHalfOfTheAnswersOfAnInterval) {
  for (int i = 0; i < 20; ++i) EXPECT_FALSE(neighbours.Answered(kStart, one, i % 5 != 0));
  for (int i = 0; i < 4; ++i)
    EXPECT_FALSE(neighbours.Answered(kStart + Neighbours::kInterval * 2, one, false));
  EXPECT_FALSE(neighbours.Answered(kStart + Neighbours::kInterval * 4, one, false)) << "of another interval";
}

TEST_F(Ejection, OnlyPresentGatewaysOfOtherSitesAreInService) {
  EXPECT_TRUE(neighbours.InService(kStart, "a").empty());
  EXPECT_EQ(neighbours.InService(kStart, "b").size(), 2u);
  neighbours.SetPresent(one, false);
  EXPECT_EQ(neighbours.InService(kStart, "b"), (std::vector<Neighbour>{{"b", "2"}}));
  neighbours.Configure(Sites(2, 1), "a");
  EXPECT_TRUE(neighbours.InService(kStart, "b").empty()) << "what is known of those that stay is kept";
  EXPECT_TRUE(neighbours.InService(kStart, "c").empty());
}

TEST(StickyKeys, StayWhileWarmAndAreBounded) {
  StickyKeys keys;
  const Neighbour b{"b", "1"}, c{"c", "1"};
  keys.Met(kStart, 0, b, milliseconds(10));
  EXPECT_EQ(keys.size(), 0u);
  keys.Met(kStart, 5, b, milliseconds(10));
  keys.Met(kStart + milliseconds(5), 5, c, milliseconds(10));
  EXPECT_EQ(*keys.Find(kStart + milliseconds(14), 5), c);
  EXPECT_EQ(keys.Find(kStart + milliseconds(15), 5), nullptr);
  for (std::uint64_t key = 1; key <= 2 * StickyKeys::kMostKeys; ++key)
    keys.Met(kStart, key, b, milliseconds(10));
  EXPECT_EQ(keys.size(), StickyKeys::kMostKeys);
  keys.Expire(kStart + milliseconds(20));
  EXPECT_EQ(keys.size(), 0u);
}

}  // namespace
}  // namespace load_balancer::overflow
