// SPDX-License-Identifier: Apache-2.0
#include "quota/commitments.h"

#include <gtest/gtest.h>

#include <random>

namespace load_balancer::quota {
namespace {

using std::chrono::milliseconds;

// TotalsBySlot computes the totals of all slots in one pass. They must equal the sums that are computed slot
// by slot with At, for random grants, incarnations and lent minimums.
TEST(Commitments, TotalsBySlotEqualTheSumsOfEachSlot) {
  std::mt19937_64 random(1);
  const auto draw = [&](int low, int high) { return std::uniform_int_distribution<>(low, high)(random); };
  SiteLayout layout;
  for (int i = 0; i < 5; ++i) {
    layout["muc"].insert(std::string(1, 'm').append(std::to_string(i)));
    layout["nue"].insert(std::string(1, 'n').append(std::to_string(i)));
  }
  const GatewayRegistry gateways(layout);
  auto budgets = std::make_shared<Budgets>();
  budgets->partners["isar"] = {
      100 * kUnit, 200 * kUnit, Unit::kRequests, OverLimitAction::kMark, {{"muc", 50 * kUnit}}};
  const BudgetRevisions revisions{budgets, {}, std::vector<bool>(gateways.size(), true), gateways.size()};
  const ReservedMinimums minimums("isar", gateways, revisions);
  for (int round = 0; round < 300; ++round) {
    Commitments commitments(milliseconds(125), milliseconds(2 * draw(0, 100)));
    const Time now(milliseconds(1'000'000 + draw(0, 500)));
    for (std::uint64_t n = 1; n <= 20; ++n) {
      const auto gateway = static_cast<GatewayId>(draw(0, 9));
      const auto incarnation = static_cast<std::uint64_t>(draw(1, 2));
      const MilliUnits rate = draw(0, 20) * kUnit;
      commitments.Add(gateway,
                      {incarnation, {1, n}, {rate, 2 * rate}, now, now + milliseconds(draw(1, 2500))});
      if (draw(0, 1) == 1) commitments.Acknowledge(gateway, incarnation, {1, n}, milliseconds(draw(0, 2500)));
    }
    commitments.Prune(now);
    const std::vector<Allocation> totals = commitments.TotalsBySlot(now, now + milliseconds(2200), minimums);
    Time begin = commitments.SlotBegin(now);
    for (const Allocation& total : totals) {
      Allocation sum;
      for (GatewayId gateway = 0; gateway < gateways.size(); ++gateway)
        sum = sum + commitments.At(gateway, begin, minimums.Of(gateway));
      EXPECT_EQ(total, sum) << "round " << round;
      begin += commitments.slot();
    }
    EXPECT_GE(begin, now + milliseconds(2200));
  }
}

}  // namespace
}  // namespace load_balancer::quota
