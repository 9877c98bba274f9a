// SPDX-License-Identifier: Apache-2.0
#include "overflow/estimate.h"

#include <gtest/gtest.h>

#include <set>

#include "fixture.h"
#include "overflow/estimate_publisher.h"
#include "overflow/failures.h"
#include "overflow/section.h"

namespace load_balancer::overflow {
namespace {

using nlohmann::json;

TEST(Estimate, ReadsBackItsJsonAndRejectsAnythingElse) {
  const Estimate estimate{"b", 4, kWall, 900, 700, 12, 3, false, 4000};
  EXPECT_EQ(FromJson(ToJson(estimate)).value(), estimate);
  const json good = ToJson(estimate);
  for (const auto& [key, value] : good.items()) {
    for (const json& wrong : {json(-1), json(1.5), json("x" + std::string(64, 'x')), json(), json::array()}) {
      json changed = good;
      changed[key] = wrong;
      EXPECT_EQ(&FromJson(changed).error().kind(), &kBadEstimate) << changed;
    }
    json missing = good;
    missing.erase(key);
    EXPECT_FALSE(FromJson(missing)) << missing;
  }
  for (const json& wrong : {json{{"low", 901}}, json{{"over", true}}, json{{"more", 1}}}) {
    json changed = good;
    changed.update(wrong);
    EXPECT_FALSE(FromJson(changed)) << changed;
  }
  EXPECT_FALSE(FromJson(json::array()));
}

TEST(Estimate, CountsFullyWhenFreshThenLessAndNotAtAllWhenStale) {
  const Options options;
  const std::pair<int, double> kTable[] = {{0, 1}, {500, 1}, {1750, 0.5}, {3000, 0}, {90000, 0}};
  for (const auto& [age, weight] : kTable) {
    EXPECT_DOUBLE_EQ(Decay(Milliseconds(age), options), weight);
    Estimates estimates(options, MakeSites(2, 1));
    ASSERT_TRUE(estimates.Update(kStart, kWall + static_cast<UnixMs>(age), SpareEstimate("b", 1000)));
    EXPECT_DOUBLE_EQ(estimates.OfferedCapacity(kStart, "b"), 500 * weight) << "age in ms: " << age;
    EXPECT_DOUBLE_EQ(estimates.OfferedCapacity(kStart + Milliseconds(3000), "b"), 0);
    EXPECT_EQ(estimates.HasSettledSpare(kStart, "b"), age < 1500) << "age in ms: " << age;
  }
}

TEST(Estimate, OfferedCapacityIsAFractionOfTheMeanAndAtMostTheLowerBound) {
  Estimates estimates(Options{}, MakeSites(2, 1));
  Estimate estimate = SpareEstimate("b", 1000);
  estimate.low = 300;
  ASSERT_TRUE(estimates.Update(kStart, kWall, estimate));
  EXPECT_DOUBLE_EQ(estimates.OfferedCapacity(kStart, "b"), 300);
  EXPECT_DOUBLE_EQ(estimates.OfferedCapacity(kStart, "c"), 0);
}

TEST(Estimate, IsStoredOnlyIfNewerAndWithoutASmallerToken) {
  const auto make = [](std::uint64_t token, std::int64_t ms, const char* site = "b") {
    Estimate estimate = SpareEstimate(site, 100);
    estimate.token = token;
    estimate.made_at += static_cast<UnixMs>(ms);
    return estimate;
  };
  Estimates estimates(Options{}, MakeSites(2, 1));
  EXPECT_TRUE(estimates.Update(kStart, kWall, make(5, 0)).value());
  EXPECT_FALSE(estimates.Update(kStart, kWall, make(5, 0)).value());
  EXPECT_FALSE(estimates.Update(kStart, kWall, make(5, -10)).value());
  EXPECT_EQ(&estimates.Update(kStart, kWall, make(4, 10)).error().kind(), &kFencedEstimate);
  EXPECT_EQ(&estimates.Update(kStart, kWall, make(5, 501)).error().kind(), &kFutureEstimate);
  EXPECT_EQ(&estimates.Update(kStart, kWall, make(5, 0, "z")).error().kind(), &kUnknownSite);
  EXPECT_TRUE(estimates.Update(kStart, kWall, make(5, 500)).value());
  EXPECT_TRUE(estimates.Update(kStart, kWall, make(6, -10)).value());
}

struct Lease {
  bool is_valid = true;
  bool IsValid(Time) const { return is_valid; }
  std::uint64_t token() const { return 9; }
};

TEST(EstimatePublisher, AddsUpMembersWithFreshReportsAndMakesNothingWithoutItsLease) {
  EstimatePublisher publisher(Options{}, "b");
  publisher.RecordMember(kStart, "1", {100, 60, Milliseconds(4)});
  publisher.RecordMember(kStart + Milliseconds(2000), "2", {30, 50, Milliseconds(9)});
  EXPECT_FALSE(publisher.MakeEstimate(kStart, kWall, Lease{false}));
  EXPECT_EQ(publisher.MakeEstimate(kStart + Milliseconds(2999), kWall, Lease{}),
            (Estimate{"b", 9, kWall, 130, 90, 9, 2, false, 0}));
  EXPECT_EQ(publisher.MakeEstimate(kStart + Milliseconds(3000), kWall, Lease{})->mean, 30u);
  publisher.RemoveMember("2");
  EXPECT_EQ(publisher.MakeEstimate(kStart + Milliseconds(3000), kWall, Lease{})->members, 0u);
}

TEST(EstimatePublisher, ChangesStateOnlyAfterTheSpareCapacityWasZeroOrAboveZeroForTheSetTime) {
  EstimatePublisher publisher(Options{}, "b");
  // Each row: the time in ms, the reported spare capacity, and the expected `over` and `for_ms`.
  const std::tuple<int, double, bool, std::uint64_t> kTable[] = {
      {0, 50, false, 0},      {500, 0, false, 0},     {1000, 50, false, 0},   {1400, 50, false, 400},
      {1500, 0, false, 0},    {2499, 0, false, 0},    {2500, 0, true, 1000},  {3000, 50, true, 1500},
      {4000, 0, true, 2500},  {5000, 50, true, 3500}, {6999, 50, true, 5499}, {7000, 50, false, 0},
      {8000, 50, false, 1000}};
  for (const auto& [ms, spare, over, settled_ms] : kTable) {
    const Time now = kStart + Milliseconds(ms);
    publisher.RecordMember(now, "1", {spare, spare, {}});
    const auto estimate = publisher.MakeEstimate(now, kWall, Lease{});
    EXPECT_EQ(std::pair(estimate->over, estimate->for_ms), std::pair(over, settled_ms)) << ms;
    EXPECT_EQ(estimate->mean, over ? 0 : static_cast<std::uint64_t>(spare)) << ms;
  }
}

TEST(OverflowSection, ReportsEachFault) {
  const auto find_faults = [](const json& settings, const Directory& sites, int lease_term_ms) {
    std::vector<std::string> found;
    CheckOverflowSection(ReadOverflowSection({{"spill", settings}}, &found), sites, "a",
                         Milliseconds(lease_term_ms), &found);
    return found;
  };
  using Faults = std::vector<std::string>;
  EXPECT_EQ(find_faults(nullptr, {}, 0), Faults{});
  EXPECT_EQ(find_faults(json::object(), MakeSites(2, 1), 3000), Faults{});
  EXPECT_EQ(find_faults(json::object(), {}, 3000), Faults{"spill needs the section sites"});
  EXPECT_EQ(find_faults(json::object(), MakeSites(1, 1), 0).size(), 2u);
  EXPECT_EQ(
      find_faults({{"most_part", 1.5}, {"part", 1}, {"staleness_ms", 900}}, MakeSites(2, 1), 3000).size(),
      3u);
  std::vector<std::string> none;
  EXPECT_EQ(
      ReadOverflowSection({{"spill", {{"most_part", 0.25}, {"slack_ms", 80}}}}, &none).options.slack.count(),
      80);
}

}  // namespace
}  // namespace load_balancer::overflow
