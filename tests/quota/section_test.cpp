// SPDX-License-Identifier: Apache-2.0
#include "quota/section.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace load_balancer::quota {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

const SiteLayout kSites{{"muc", {"muc-1", "muc-2"}}, {"aug", {"aug-1"}}};

json SampleFile() {
  return {{"quota",
           {{"revision", 7},
            {"treasurers", 4},
            {"draw_ms", 2000},
            {"ask_ms", 250},
            {"partners",
             {{"isar",
               {{"per_s", 200},
                {"burst", 400},
                {"unit", "requests"},
                {"over", "refuse"},
                {"floors", {{"muc", 50}, {"aug", 20.5}}}}}}}}}};
}

std::vector<std::string> FaultsOf(const json& root) {
  std::vector<std::string> faults;
  const QuotaSection quota = ReadQuota(root, &faults);
  CheckQuota(quota, kSites, {"isar"}, milliseconds(3000), milliseconds(100), &faults);
  return faults;
}

TEST(QuotaSection, ReadsBudgets) {
  std::vector<std::string> faults;
  const QuotaSection quota = ReadQuota(SampleFile(), &faults);
  EXPECT_TRUE(FaultsOf(SampleFile()).empty());
  EXPECT_TRUE(quota.on);
  EXPECT_EQ(quota.budgets.revision, 7u);
  const Budget& budget = quota.budgets.partners.at("isar");
  EXPECT_EQ(budget.rate, 200'000);
  EXPECT_EQ(budget.over_limit_action, OverLimitAction::kReject);
  EXPECT_EQ(budget.reserved_minimums.at("aug"), 20'500);
  EXPECT_FALSE(ReadQuota(json::object(), &faults).on);
  EXPECT_TRUE(faults.empty());
}

TEST(QuotaSection, ReportsEachFault) {
  const std::vector<std::tuple<const char*, json, const char*>> cases{
      {"/quota/x", 1, "quota.x is no known key"},
      {"/quota/draw_ms", 900, "quota.draw_ms is less than 4 times ask_ms"},
      {"/quota/draw_ms", 2800,
       "quota.draw_ms is not less than sites.lease_term_ms minus twice sites.lease_drift_ms"},
      {"/quota/partners", 3, "quota.partners is no object"},
      {"/quota/partners/isar/per_s", 0, "quota.partners.isar.per_s is out of range 0.001 to 1000000.0"},
      {"/quota/partners/isar/unit", "x", "quota.partners.isar.unit is neither requests nor work"},
      {"/quota/partners/isar/over", "x", "quota.partners.isar.over is neither mark nor refuse"},
      {"/quota/partners/isar/floors/muc", 190, "quota.partners.isar.floors add up to more than per_s"},
      {"/quota/partners/isar/floors/muc", -1,
       "quota.partners.isar.floors.muc is not a number from 0 to per_s"},
      {"/quota/partners/isar/floors/muc", 0.5,
       "quota.partners.isar.floors.muc gives a gateway too little burst for one request"},
      {"/quota/partners/isar/floors/ulm", 1, "quota.partners.isar.floors.ulm is not a site"},
      {"/quota/partners/lech",
       {{"per_s", 1}, {"burst", 1}},
       "quota.partners.lech is no tenant of the settings"}};
  for (const auto& [place, value, fault] : cases) {
    json root = SampleFile();
    root[json::json_pointer(place)] = value;
    const auto faults = FaultsOf(root);
    EXPECT_EQ(std::count(faults.begin(), faults.end(), fault), 1)
        << place << ": " << (faults.empty() ? "none" : faults[0]);
  }
}

TEST(QuotaSection, ReadsCurrentAndFormerKeysAlike) {
  json root = SampleFile();
  root["quota"]["treasurers"] = 3;
  root["quota"]["draw_ms"] = 1500;
  const json present = WithPresentKeys(root);
  EXPECT_EQ(present["quota"]["allocators"], 3);
  EXPECT_EQ(present["quota"]["grant_lifetime_ms"], 1500);
  EXPECT_EQ(present["quota"]["partners"]["isar"]["reserved_minimums"], json({{"muc", 50}, {"aug", 20.5}}));
  for (const json& file : {root, present}) {
    EXPECT_EQ(FaultsOf(file), std::vector<std::string>{});
    std::vector<std::string> faults;
    const QuotaSection quota = ReadQuota(file, &faults);
    EXPECT_EQ(quota.allocators, 3u);
    EXPECT_EQ(quota.max_grant_lifetime, milliseconds(1500));
    EXPECT_EQ(quota.budgets.partners.at("isar").reserved_minimums.at("aug"), 20'500);
  }
  EXPECT_EQ(WithPresentKeys(present), present);
  EXPECT_EQ(WithPresentKeys({{"quota", 3}}), json({{"quota", 3}}));
}

TEST(QuotaSection, NamesCurrentKeysInFaults) {
  const std::vector<std::tuple<const char*, json, const char*>> cases{
      {"/quota/allocators", 0, "quota.allocators is out of range 1 to 64"},
      {"/quota/grant_lifetime_ms", 900, "quota.grant_lifetime_ms is less than 4 times ask_ms"},
      {"/quota/grant_lifetime_ms", 2800,
       "quota.grant_lifetime_ms is not less than sites.lease_term_ms minus twice sites.lease_drift_ms"},
      {"/quota/partners/isar/reserved_minimums/muc", 190,
       "quota.partners.isar.reserved_minimums add up to more than per_s"},
      {"/quota/partners/isar/reserved_minimums/ulm", 1,
       "quota.partners.isar.reserved_minimums.ulm is not a site"}};
  for (const auto& [place, value, fault] : cases) {
    json root = WithPresentKeys(SampleFile());
    root[json::json_pointer(place)] = value;
    EXPECT_EQ(FaultsOf(root), std::vector<std::string>{fault}) << place;
  }
}

TEST(QuotaSection, RejectsAKeyGivenByBothNames) {
  const std::vector<std::tuple<const char*, json, const char*>> cases{
      {"/quota/allocators", 4, "quota.allocators is also given by its former name treasurers"},
      {"/quota/grant_lifetime_ms", 2000, "quota.grant_lifetime_ms is also given by its former name draw_ms"},
      {"/quota/partners/isar/reserved_minimums", json::object(),
       "quota.partners.isar.reserved_minimums is also given by its former name floors"}};
  for (const auto& [place, value, fault] : cases) {
    json root = SampleFile();
    root[json::json_pointer(place)] = value;
    EXPECT_EQ(FaultsOf(root), std::vector<std::string>{fault}) << place;
  }
}

}  // namespace
}  // namespace load_balancer::quota
