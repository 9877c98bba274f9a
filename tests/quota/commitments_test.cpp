// SPDX-License-Identifier: Apache-2.0
#include "quota/commitments.h"

#include <gtest/gtest.h>

#include <random>

namespace load_balancer::quota {
namespace {

using std::chrono::milliseconds;

// The sums of many gateways are those of each slot by itself, whatever grants, lives and lent floors there
// are.
TEST(Commitments, SumEachSlotAsItIs) {
  std::mt19937_64 random(1);
  const auto draw = [&](int least, int most) { return std::uniform_int_distribution<>(least, most)(random); };
  Layout layout;
  for (int i = 0; i < 5; ++i) {
    layout["muc"].insert(std::string(1, 'm').append(std::to_string(i)));
    layout["nue"].insert(std::string(1, 'n').append(std::to_string(i)));
  }
  const Gateways gateways(layout);
  auto budgets = std::make_shared<Budgets>();
  budgets->partners["isar"] = {100 * kOne, 200 * kOne, Unit::kRequests, Over::kMark, {{"muc", 50 * kOne}}};
  const Revisions revisions{budgets, {}, std::vector<bool>(gateways.size(), true), gateways.size()};
  const Floors floors("isar", gateways, revisions);
  for (int round = 0; round < 300; ++round) {
    Commitments commitments(milliseconds(125), milliseconds(2 * draw(0, 100)));
    const Time now(milliseconds(1'000'000 + draw(0, 500)));
    for (std::uint64_t n = 1; n <= 20; ++n) {
      const auto gateway = static_cast<GatewayId>(draw(0, 9));
      const auto life = static_cast<std::uint64_t>(draw(1, 2));
      const Milli rate = draw(0, 20) * kOne;
      commitments.Add(gateway, {life, {1, n}, {rate, 2 * rate}, now, now + milliseconds(draw(1, 2500))});
      if (draw(0, 1) == 1) commitments.Acknowledge(gateway, life, {1, n}, milliseconds(draw(0, 2500)));
    }
    commitments.Prune(now);
    const std::vector<Part> sums = commitments.Sums(now, now + milliseconds(2200), floors);
    Time begin = commitments.SlotBegin(now);
    for (const Part& sum : sums) {
      Part each;
      for (GatewayId gateway = 0; gateway < gateways.size(); ++gateway)
        each = each + commitments.At(gateway, begin, floors.Of(gateway));
      EXPECT_EQ(sum, each) << "round " << round;
      begin += commitments.slot();
    }
    EXPECT_GE(begin, now + milliseconds(2200));
  }
}

}  // namespace
}  // namespace load_balancer::quota
