// SPDX-License-Identifier: Apache-2.0
//
// The bounds of docs/quota.md with many gateways and partners, on the model.
#include <gtest/gtest.h>

#include "model/quota/scale/run.h"

namespace load_balancer::model::scale {
namespace {

using std::chrono::seconds;

RunOptions Options() {
  RunOptions options;
  options.sites = 5;
  options.per_site = 6;
  options.counted = seconds(4);
  return options;
}

// Small partners, each at few gateways: their noise must not cost their budgets, nor a message each.
TEST(QuotaScale, SpendsWhatSmallPartnersHaveAndPutsManyIntoAMessage) {
  RunOptions options = Options();
  options.partners = 300;
  options.active = 3;
  options.per_s = 2;
  const Figures figures = scale::Run(options);
  EXPECT_EQ(figures.over, 0);
  EXPECT_GE(figures.spent[kProduct], 0.88 * figures.spent[kIdeal]);
  const double gateway_seconds = 30 * figures.seconds;
  EXPECT_LT(static_cast<double>(figures.gateways.messages), 30 * gateway_seconds);
  EXPECT_GT(figures.gateways.entries, 3 * figures.gateways.messages);
}

TEST(QuotaScale, SpendsAndDividesWhatIsWantedEverywhere) {
  RunOptions options = Options();
  options.active = 30;
  const Figures figures = scale::Run(options);
  EXPECT_EQ(figures.over, 0);
  EXPECT_GE(figures.spent[kProduct], 0.95 * figures.spent[kIdeal]);
  EXPECT_GE(figures.fairness[kProduct], 0.97);
}

}  // namespace
}  // namespace load_balancer::model::scale
