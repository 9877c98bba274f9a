// SPDX-License-Identifier: Apache-2.0
//
// One budget over 9 gateways of 3 sites, as processes: whatever fails, what they admit in any window stays
// within rate x window + burst.
#include "quota_bed.h"

namespace load_balancer::testing::federation {
namespace {

constexpr double kRate = 200, kBurst = 100;  // requests a second; requests
constexpr int kOffered = 60;                 // a second, at each gateway

class Quota : public ::testing::Test, protected QuotaBed {
 protected:
  Quota() : QuotaBed(json::object({{"isar", BudgetJson(kRate, kBurst, "refuse", 30)}})) {
    Offer("isar", kOffered);
  }

  void ExpectWithinBudget() {
    EndLoad();
    ExpectWithin(journal().Take(), kRate, kBurst);
    EXPECT_GT(refused(), 0);
  }
};

TEST_F(Quota, HoldsWhenItsAllocatorIsKilled) {
  const int first = Allocator(FromStart());
  ASSERT_GE(first, 0);
  ASSERT_TRUE(journal().WaitForMore(400));
  const auto marks = gateways().Marks();
  gateways()[first].Kill();
  ASSERT_GE(Allocator(marks, first), 0);
  ASSERT_TRUE(journal().WaitForMore(400));
  ExpectWithinBudget();
}

TEST_F(Quota, HoldsWhenItsAllocatorStandsStillPastItsTermAndGoesOn) {
  const int first = Allocator(FromStart());
  ASSERT_GE(first, 0);
  ASSERT_TRUE(journal().WaitForMore(400));
  const auto marks = gateways().Marks();
  gateways()[first].Signal(SIGSTOP);
  const int second = Allocator(marks, first);
  EXPECT_GE(second, 0);
  EXPECT_TRUE(journal().WaitForMore(200));
  gateways()[first].Signal(SIGCONT);
  ASSERT_TRUE(journal().WaitForMore(400));
  ExpectWithinBudget();
}

TEST_F(Quota, HoldsWhenItsAllocatorIsCutOffWithAMinority) {
  const int first = Allocator(FromStart());
  ASSERT_GE(first, 0);
  ASSERT_TRUE(journal().WaitForMore(400));
  const int site = first / Gateways::kPerSite;
  const auto marks = gateways().Marks();
  std::vector<int> rest = Gateways::Site((site + 1) % 3);
  for (const int i : Gateways::Site((site + 2) % 3)) rest.push_back(i);
  gateways().Part({Gateways::Site(site), rest});
  const int second = Allocator(marks, first);
  ASSERT_GE(second, 0);
  EXPECT_NE(second / Gateways::kPerSite, site);
  EXPECT_TRUE(gateways()[first].WaitFor("source=floor", marks[Gateways::Index(first)]));
  ASSERT_TRUE(journal().WaitForMore(300));
  const auto healed = gateways().Marks();
  gateways().Heal();
  EXPECT_TRUE(gateways()[first].WaitFor("source=draw", healed[Gateways::Index(first)]));
  ASSERT_TRUE(journal().WaitForMore(300));
  ExpectWithinBudget();
}

TEST_F(Quota, HoldsAtFullDemandOnAllSidesOfAPartitionWithoutAMajority) {
  ASSERT_GE(Allocator(FromStart()), 0);
  ASSERT_TRUE(journal().WaitForMore(400));
  const auto marks = gateways().Marks();
  gateways().Part({Gateways::Site(0), Gateways::Site(1), Gateways::Site(2)});
  EXPECT_TRUE(gateways().WaitForAll("source=floor", marks));
  ASSERT_TRUE(journal().WaitForMore(200));
  const auto healed = gateways().Marks();
  gateways().Heal();
  EXPECT_TRUE(gateways().WaitForAll("source=draw", healed));
  ASSERT_TRUE(journal().WaitForMore(300));
  ExpectWithinBudget();
}

TEST_F(Quota, HoldsWhenAllGatewaysAreKilledAndStartAgain) {
  ASSERT_GE(Allocator(FromStart()), 0);
  ASSERT_TRUE(journal().WaitForMore(400));
  for (int i = 0; i < Gateways::kAll; ++i) gateways()[i].Signal(SIGKILL);
  for (int i = 0; i < Gateways::kAll; ++i) gateways()[i].Reap();
  for (int i = 0; i < Gateways::kAll; ++i) gateways().Launch(i);
  for (int i = 0; i < Gateways::kAll; ++i) gateways().AwaitStart(i);
  ASSERT_GE(Allocator(FromStart()), 0);
  ASSERT_TRUE(journal().WaitForMore(400));
  ExpectWithinBudget();
}

TEST_F(Quota, HoldsWithLossDuplicatesAndReordering) {
  gateways().Relay("FAULT * drop=0.3 duplicate=0.3 reorder=0.3");
  ASSERT_GE(Allocator(FromStart()), 0);
  ASSERT_TRUE(journal().WaitForMore(1000));
  ExpectWithinBudget();
}

TEST_F(Quota, HoldsForClientsThatMoveEachSecond) {
  ASSERT_GE(Allocator(FromStart()), 0);
  for (int second = 0; second < 8; ++second) {
    for (int i = 0; i < Gateways::kAll; ++i) on(i) = i % 3 == second % 3;
    std::this_thread::sleep_for(std::chrono::seconds(1));
  }
  for (int i = 0; i < Gateways::kAll; ++i) on(i) = true;
  ASSERT_TRUE(journal().WaitForMore(400));
  ExpectWithinBudget();
}

}  // namespace
}  // namespace load_balancer::testing::federation
