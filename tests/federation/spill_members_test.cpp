// SPDX-License-Identifier: Apache-2.0
//
// Spill with whole processes beside what else a gateway is: one whose partner has a budget, and one of before
// the federation in the same fleet.
#include <gtest/gtest.h>

#include "client.h"
#include "spill_scene.h"

namespace load_balancer::testing::federation {
namespace {

constexpr const char* kOwner = "Req-Owner: isar\r\n";

// The partner isar's budget over all sites, in requests a second; another one, lech, has none.
Gateways::Edit Budget(double per_s) {
  return [per_s](int, int, json& own) {
    own["settings"]["tenants"] = {{{"name", "isar"}}, {{"name", "lech"}}};
    own["settings"]["permissions"]["maxRetryAfterMs"] = 60000.0;
    own["quota"] = {{"revision", 1},
                    {"treasurers", 1},
                    {"draw_ms", 600},
                    {"ask_ms", 100},
                    {"partners", {{"isar", {{"per_s", per_s}, {"burst", per_s}, {"over", "refuse"}}}}}};
  };
}

// What the gateway has charged of isar's requests of late, a second; it forgets a partner that asks nothing.
double Demand(SpillScene& scene, int gateway) {
  const std::string state = scene.gateways().Operator(gateway, "STATE");
  const auto at = state.find(", isar per_s=");
  if (at == std::string::npos) return 0;
  const auto demand = state.find("demand=", at);
  if (demand == std::string::npos) throw std::runtime_error(state);
  return std::stod(state.substr(demand + 7));
}

TEST(SpillAndQuota, ASpilledRequestIsChargedOnceWhereItCameIn) {
  SpillScene scene(Budget(1000), kOwner);
  ASSERT_TRUE(scene.WaitUntilServed());
  for (const int site : {1, 2}) scene.Rate(site, 0);
  scene.Rate(0, SpillScene::kOver);
  ASSERT_TRUE(scene.WaitForSpilled(0, 100));  // by then the others have forgotten what came in there
  double there = 0, here = 0;
  for (int i = 0; i < Gateways::kAll; ++i) (i < Gateways::kPerSite ? here : there) += Demand(scene, i);
  EXPECT_GT(here, SpillScene::kOver / 3);
  EXPECT_LT(there, 1);
  scene.ExpectSound();
}

TEST(SpillAndQuota, AMarkThatAClientMakesUpDoesNotEvadeTheCharge) {
  SpillScene scene(Budget(2), "Req-Owner: lech\r\n");
  ASSERT_TRUE(scene.WaitUntilServed());
  // Through a client's own address, and for comparison from that of the gateway that the mark names.
  const auto over = [&](const char* from) {
    PatientClient client(scene.gateways().clients(Gateways::kPerSite), kMaxWait,
                         asio::ip::make_address(from));
    int count = 0;
    for (int n = 0; n < 60; ++n)
      count += client.Ask(std::string("GET /look/it HTTP/1.1\r\nHost: s\r\nReq-Cost: 1000\r\n") + kOwner +
                          "Spilled-From: a/a1\r\nReq-Id: " + scene.ledger().Sent({}) + "\r\n\r\n") == 429;
    return count;
  };
  EXPECT_GT(over("127.0.0.1"), 30);
  EXPECT_EQ(over("127.0.1.1"), 0);
}

TEST(SpillUpgrade, AMemberWithoutItLivesInTheFleetOfThoseWithIt) {
  constexpr int kOld = 1;  // a2
  SpillScene scene([](int site, int gateway, json& own) {
    if (site != 0 || gateway != kOld) return;
    own.erase("sites");
    own.erase("spill");
  });
  ASSERT_TRUE(scene.WaitUntilServed());
  scene.Rate(0, SpillScene::kOver);
  EXPECT_TRUE(scene.WaitForSpilled(0, 10));
  scene.ExpectSound();
  EXPECT_EQ(scene.ledger().Count([](const Entry& each) { return each.gateway == kOld && each.spilled(); }),
            0u);
  for (const int i : Gateways::Site(0)) {
    const std::string members = scene.gateways().Operator(i, "MEMBERS");
    for (const int other : Gateways::Site(0))
      EXPECT_NE(members.find(Gateways::Name(other) + " alive"), std::string::npos) << members;
    for (const std::string& line : scene.gateways()[i].Lines()) {
      EXPECT_EQ(line.find("FLEET-2 "), std::string::npos) << Gateways::Name(i) << ": " << line;
      EXPECT_EQ(line.find("FLEET-7 "), std::string::npos) << Gateways::Name(i) << ": " << line;
    }
  }
}

}  // namespace
}  // namespace load_balancer::testing::federation
