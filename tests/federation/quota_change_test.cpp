// SPDX-License-Identifier: Apache-2.0
//
// Budgets of 9 gateways, as processes, while on-call staff drain gateways.
#include "quota_bed.h"

namespace load_balancer::testing::federation {
namespace {

constexpr int kOffered = 60;  // a second, at each gateway

TEST(QuotaChange, HoldsWhenItsAllocatorIsDrainedAndThenAnotherStopped) {
  QuotaBed bed(json::object({{"isar", BudgetJson(200, 100, "refuse", 30)}}));
  bed.Offer("isar", kOffered);
  const int first = bed.Allocator(QuotaBed::FromStart());
  ASSERT_GE(first, 0);
  ASSERT_TRUE(bed.journal().WaitForMore(300));
  auto marks = bed.gateways().Marks();
  EXPECT_EQ(bed.gateways().Operator(first, "LAMEDUCK").substr(0, 3), "ACK");
  const int second = bed.Allocator(marks, first);
  ASSERT_GE(second, 0);
  ASSERT_TRUE(bed.journal().WaitForMore(300));
  marks = bed.gateways().Marks();
  bed.gateways()[second].Signal(SIGTERM);
  const int third = bed.Allocator(marks, second);
  ASSERT_GE(third, 0);
  EXPECT_NE(third, first);
  ASSERT_TRUE(bed.journal().WaitForMore(300));
  bed.EndLoad();
  QuotaBed::ExpectWithin(bed.journal().Take(), 200, 100);
}

}  // namespace
}  // namespace load_balancer::testing::federation
