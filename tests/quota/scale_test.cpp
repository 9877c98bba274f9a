// SPDX-License-Identifier: Apache-2.0
//
// Checks the bounds of docs/quota.md in the model, with many gateways and partners.
#include <gtest/gtest.h>

#include "model/quota/scale/run.h"

namespace load_balancer::model::scale {
namespace {

using std::chrono::seconds;

RunOptions Options() {
  RunOptions options;
  options.sites = 5;
  options.per_site = 6;
  options.measured = seconds(4);
  return options;
}

// Each of many small partners has sparse traffic at a few gateways. Noise in the estimated demand must
// not cause parts of the budgets to stay unspent, and the gateways must not send one message per partner.
TEST(QuotaScale, SpendsTheBudgetsOfSmallPartnersAndBatchesTheirEntries) {
  RunOptions options = Options();
  options.partners = 300;
  options.gateways_per_partner = 3;
  options.rate_per_gateway = 2;
  const RunResult result = scale::Run(options);
  EXPECT_EQ(result.excess, 0);
  EXPECT_GE(result.admitted[kProduct], 0.88 * result.admitted[kIdeal]);
  const double gateway_seconds = 30 * result.seconds;
  EXPECT_LT(static_cast<double>(result.gateways.messages), 30 * gateway_seconds);
  EXPECT_GT(result.gateways.entries, 3 * result.gateways.messages);
}

TEST(QuotaScale, SpendsAndDividesBudgetsFairlyWithDemandAtAllGateways) {
  RunOptions options = Options();
  options.gateways_per_partner = 30;
  const RunResult result = scale::Run(options);
  EXPECT_EQ(result.excess, 0);
  EXPECT_GE(result.admitted[kProduct], 0.95 * result.admitted[kIdeal]);
  EXPECT_GE(result.fairness[kProduct], 0.97);
}

}  // namespace
}  // namespace load_balancer::model::scale
