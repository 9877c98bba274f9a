// SPDX-License-Identifier: Apache-2.0
//
// One budget over 9 gateways of 3 sites, as processes: whatever fails, what they admit in any window stays
// within rate x window + burst.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <thread>

#include "client.h"
#include "gateways.h"

namespace brackenspoke::testing::federation {
namespace {

constexpr double kRate = 200, kBurst = 100;  // requests a second; requests
constexpr int kOffered = 60;                 // a second, at each gateway
constexpr const char* kHandsOut = "hands out draws";

// Of all windows of the length, the largest count over what the budget allows. A request counts in a window
// only if it was sent and had arrived within it: then it was certainly admitted in it.
double Worst(const std::vector<Journal::Entry>& entries, milliseconds window, double rate, double burst) {
  std::size_t most = 0;
  for (std::size_t first = 0; first < entries.size(); ++first) {
    const auto end = entries[first].sent + window;
    std::size_t count = 0;
    for (std::size_t i = first; i < entries.size() && entries[i].sent < end; ++i)
      count += entries[i].arrived < end;
    most = std::max(most, count);
  }
  return static_cast<double>(most) / (rate * std::chrono::duration<double>(window).count() + burst);
}

class Quota : public ::testing::Test {
 protected:
  Quota()
      : server_([this](Tcp::socket& socket, const HttpRequest& request) {
          journal_.Arrived(std::string(request["Req-Id"]));
          SendRaw(socket, OkAnswer("served"));
          return true;
        }),
        gateways_(Config(), Sites(), [](int, int, json&) {}) {
    for (int i = 0; i < Gateways::kAll; ++i) {
      on_[Gateways::Index(i)] = true;
      clients_.emplace_back([this, i] { Load(i); });
    }
  }
  ~Quota() override { EndLoad(); }

  json Config() const {
    json config =
        ConfigJson(Tcp::endpoint(kAnyPort.address(), 9), Members(MemberJson("s-1", server_.address())));
    config["settings"]["tenants"] = {{{"name", "isar"}}};
    config["settings"]["permissions"]["maxRetryAfterMs"] = 60000.0;
    config["fleet"] = {{"probe_interval_ms", 200}, {"seeds", json::array()}};
    config["state"] = {{"snapshot_interval_ms", 200}};
    config["quota"] = {{"revision", 1},
                       {"treasurers", 1},
                       {"draw_ms", 1000},
                       {"ask_ms", 100},
                       {"partners",
                        {{"isar",
                          {{"per_s", kRate},
                           {"burst", kBurst},
                           {"over", "refuse"},
                           {"floors", {{"a", 30}, {"b", 30}, {"c", 30}}}}}}}};
    return config;
  }
  static json Sites() {
    return {{"voters", json::array()},
            {"probe_interval_ms", 200},
            {"lease_term_ms", 1500},
            {"lease_drift_ms", 100},
            {"sync_interval_ms", 1000}};
  }

  void Load(int gateway) {
    PatientClient client(gateways_.clients(gateway), milliseconds(500));
    auto next = Steady::now();
    while (!over_) {
      next = std::max(next + std::chrono::microseconds(1000000 / kOffered), Steady::now() - milliseconds(50));
      std::this_thread::sleep_until(next);
      if (!on_[Gateways::Index(gateway)]) continue;
      const int status =
          client.Ask("GET /look/it HTTP/1.1\r\nHost: s\r\nReq-Kind: look\r\nReq-Owner: isar\r\nReq-Id: " +
                     journal_.Sent() + "\r\n\r\n");
      if (status == 429 && client.answer().find("Retry-After: ") != std::string::npos) ++refused_;
    }
  }
  void EndLoad() {
    over_ = true;
    for (std::thread& client : clients_) client.join();
    clients_.clear();
  }

  // The gateway that hands out draws, once it does.
  int Treasurer(const std::vector<std::size_t>& marks, int but = -1) {
    return gateways_.WaitForAny(kHandsOut, marks, but);
  }
  static std::vector<std::size_t> FromStart() { return std::vector<std::size_t>(Gateways::kAll, 0); }

  // The hard rule, and that the same count finds an overspend where there is one.
  void ExpectWithinBudget() {
    EndLoad();
    const auto entries = journal_.Take();
    double against_half = 0;
    for (const int window : {100, 1000, 10000}) {
      const double worst = Worst(entries, milliseconds(window), kRate, kBurst);
      std::printf("window %d ms: at most %.3f of what the budget allows\n", window, worst);
      EXPECT_LE(worst, 1.0) << "window of " << window << " ms";
      against_half = std::max(against_half, Worst(entries, milliseconds(window), kRate / 2, kBurst / 2));
    }
    EXPECT_GT(against_half, 1.0);
    EXPECT_GT(refused_, 0);
  }

  Journal journal_;
  Backend server_;
  Gateways gateways_;
  std::array<std::atomic<bool>, Gateways::kAll> on_{};
  std::atomic<bool> over_ = false;
  std::atomic<int> refused_ = 0;
  std::vector<std::thread> clients_;
};

TEST_F(Quota, HoldsWhenItsTreasurerIsKilled) {
  const int first = Treasurer(FromStart());
  ASSERT_GE(first, 0);
  ASSERT_TRUE(journal_.WaitForMore(400));
  const auto marks = gateways_.Marks();
  gateways_[first].Kill();
  ASSERT_GE(Treasurer(marks, first), 0);
  ASSERT_TRUE(journal_.WaitForMore(400));
  ExpectWithinBudget();
}

TEST_F(Quota, HoldsWhenItsTreasurerStandsStillPastItsTermAndGoesOn) {
  const int first = Treasurer(FromStart());
  ASSERT_GE(first, 0);
  ASSERT_TRUE(journal_.WaitForMore(400));
  const auto marks = gateways_.Marks();
  gateways_[first].Signal(SIGSTOP);
  const int second = Treasurer(marks, first);
  EXPECT_GE(second, 0);
  EXPECT_TRUE(journal_.WaitForMore(200));
  gateways_[first].Signal(SIGCONT);
  ASSERT_TRUE(journal_.WaitForMore(400));
  ExpectWithinBudget();
}

TEST_F(Quota, HoldsWhenItsTreasurerIsCutOffWithAMinority) {
  const int first = Treasurer(FromStart());
  ASSERT_GE(first, 0);
  ASSERT_TRUE(journal_.WaitForMore(400));
  const int site = first / Gateways::kPerSite;
  const auto marks = gateways_.Marks();
  std::vector<int> rest = Gateways::Site((site + 1) % 3);
  for (const int i : Gateways::Site((site + 2) % 3)) rest.push_back(i);
  gateways_.Part({Gateways::Site(site), rest});
  const int second = Treasurer(marks, first);
  ASSERT_GE(second, 0);
  EXPECT_NE(second / Gateways::kPerSite, site);
  EXPECT_TRUE(gateways_[first].WaitFor("source=floor", marks[Gateways::Index(first)]));
  ASSERT_TRUE(journal_.WaitForMore(300));
  const auto healed = gateways_.Marks();
  gateways_.Heal();
  EXPECT_TRUE(gateways_[first].WaitFor("source=draw", healed[Gateways::Index(first)]));
  ASSERT_TRUE(journal_.WaitForMore(300));
  ExpectWithinBudget();
}

TEST_F(Quota, HoldsAtFullDemandOnAllSidesOfAPartitionWithoutAMajority) {
  ASSERT_GE(Treasurer(FromStart()), 0);
  ASSERT_TRUE(journal_.WaitForMore(400));
  const auto marks = gateways_.Marks();
  gateways_.Part({Gateways::Site(0), Gateways::Site(1), Gateways::Site(2)});
  EXPECT_TRUE(gateways_.WaitForAll("source=floor", marks));
  ASSERT_TRUE(journal_.WaitForMore(200));
  const auto healed = gateways_.Marks();
  gateways_.Heal();
  EXPECT_TRUE(gateways_.WaitForAll("source=draw", healed));
  ASSERT_TRUE(journal_.WaitForMore(300));
  ExpectWithinBudget();
}

TEST_F(Quota, HoldsWhenAllGatewaysAreKilledAndStartAgain) {
  ASSERT_GE(Treasurer(FromStart()), 0);
  ASSERT_TRUE(journal_.WaitForMore(400));
  for (int i = 0; i < Gateways::kAll; ++i) gateways_[i].Signal(SIGKILL);
  for (int i = 0; i < Gateways::kAll; ++i) gateways_[i].Reap();
  for (int i = 0; i < Gateways::kAll; ++i) gateways_.Launch(i);
  for (int i = 0; i < Gateways::kAll; ++i) gateways_.AwaitStart(i);
  ASSERT_GE(Treasurer(FromStart()), 0);
  ASSERT_TRUE(journal_.WaitForMore(400));
  ExpectWithinBudget();
}

TEST_F(Quota, HoldsWithLossDuplicatesAndReordering) {
  gateways_.Relay("FAULT * drop=0.3 duplicate=0.3 reorder=0.3");
  ASSERT_GE(Treasurer(FromStart()), 0);
  ASSERT_TRUE(journal_.WaitForMore(1000));
  ExpectWithinBudget();
}

TEST_F(Quota, HoldsForClientsThatMoveEachSecond) {
  ASSERT_GE(Treasurer(FromStart()), 0);
  for (int second = 0; second < 8; ++second) {
    for (int i = 0; i < Gateways::kAll; ++i) on_[Gateways::Index(i)] = i % 3 == second % 3;
    std::this_thread::sleep_for(std::chrono::seconds(1));
  }
  for (auto& on : on_) on = true;
  ASSERT_TRUE(journal_.WaitForMore(400));
  ExpectWithinBudget();
}

}  // namespace
}  // namespace brackenspoke::testing::federation
