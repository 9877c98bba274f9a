// SPDX-License-Identifier: Apache-2.0
//
// 9 gateways of 3 sites as processes that share budgets, a server behind them that counts, and clients that
// send more to each gateway than is its part.
#ifndef LOAD_BALANCER_TESTS_FEDERATION_QUOTA_BED_H_
#define LOAD_BALANCER_TESTS_FEDERATION_QUOTA_BED_H_

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <thread>

#include "client.h"
#include "gateways.h"

namespace load_balancer::testing::federation {

constexpr const char* kHandsOut = "hands out draws";
constexpr milliseconds kGrantLife{1000}, kDrift{100};

// Of all windows of the length, the largest count over what the budget allows. A request counts in a window
// only if it was sent and had arrived within it: then it was certainly admitted in it.
inline double Worst(const std::vector<Journal::Entry>& entries, milliseconds window, double rate,
                    double burst) {
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

// A partner's entry in the section `quota`.
inline json BudgetJson(double per_s, double burst, const std::string& over, double floor) {
  return {{"per_s", per_s},
          {"burst", burst},
          {"over", over},
          {"floors", {{"a", floor}, {"b", floor}, {"c", floor}}}};
}

class QuotaBed {
 public:
  explicit QuotaBed(const json& partners)
      : server_([this](Tcp::socket& socket, const HttpRequest& request) {
          journals_.at(std::string(request["Req-Owner"])).Arrived(std::string(request["Req-Id"]));
          SendRaw(socket, OkAnswer("served"));
          return true;
        }),
        gateways_(Config(server_.address(), partners), Sites(), [](int, int, json&) {}) {
    for (auto& on : on_) on = true;
  }
  ~QuotaBed() { EndLoad(); }

  // A client at each gateway sends so many requests a second for the partner, wherever `on`.
  void Offer(const std::string& partner, int per_s) {
    for (int i = 0; i < Gateways::kAll; ++i)
      clients_.emplace_back([this, i, partner, per_s] { Load(i, partner, per_s); });
  }
  void EndLoad() {
    over_ = true;
    for (std::thread& client : clients_) client.join();
    clients_.clear();
  }
  static std::string RequestOf(const std::string& partner, const std::string& id) {
    return "GET /look/it HTTP/1.1\r\nHost: s\r\nReq-Kind: look\r\nReq-Owner: " + partner +
           "\r\nReq-Id: " + id + "\r\n\r\n";
  }

  Gateways& gateways() { return gateways_; }
  Journal& journal(const std::string& partner = "isar") { return journals_.at(partner); }
  std::atomic<bool>& on(int gateway) { return on_[Gateways::Index(gateway)]; }
  // Answers with 429 and Retry-After.
  int refused(const std::string& partner = "isar") const { return refused_.at(partner); }

  // The gateway that hands out grants, once it does.
  int Allocator(const std::vector<std::size_t>& marks, int but = -1) {
    return gateways_.WaitForAny(kHandsOut, marks, but);
  }
  static std::vector<std::size_t> FromStart() { return std::vector<std::size_t>(Gateways::kAll, 0); }

  // The hard rule, and that the same count finds an overspend where there is one.
  static void ExpectWithin(const std::vector<Journal::Entry>& entries, double rate, double burst) {
    double against_half = 0;
    for (const int window : {100, 1000, 10000}) {
      const double worst = Worst(entries, milliseconds(window), rate, burst);
      std::printf("window %d ms: at most %.3f of what the budget allows\n", window, worst);
      EXPECT_LE(worst, 1.0) << "window of " << window << " ms";
      against_half = std::max(against_half, Worst(entries, milliseconds(window), rate / 2, burst / 2));
    }
    EXPECT_GT(against_half, 1.0);
  }

 private:
  static json Config(const Tcp::endpoint& server, const json& partners) {
    json config = ConfigJson(Tcp::endpoint(kAnyPort.address(), 9), Members(MemberJson("s-1", server)));
    config["settings"]["tenants"] = {{{"name", "isar"}}, {{"name", "lech"}}};
    config["settings"]["permissions"]["maxRetryAfterMs"] = 60000.0;
    config["fleet"] = {{"probe_interval_ms", 200}, {"seeds", json::array()}};
    config["state"] = {{"snapshot_interval_ms", 200}};
    config["quota"] = {{"revision", 1},
                       {"treasurers", 1},
                       {"draw_ms", kGrantLife.count()},
                       {"ask_ms", 100},
                       {"partners", partners}};
    return config;
  }
  static json Sites() {
    return {{"voters", json::array()},
            {"probe_interval_ms", 200},
            {"lease_term_ms", 1500},
            {"lease_drift_ms", kDrift.count()},
            {"sync_interval_ms", 1000}};
  }

  void Load(int gateway, const std::string& partner, int per_s) {
    PatientClient client(gateways_.clients(gateway), milliseconds(500));
    auto next = Steady::now();
    while (!over_) {
      next = std::max(next + std::chrono::microseconds(1000000 / per_s), Steady::now() - milliseconds(50));
      std::this_thread::sleep_until(next);
      if (!on(gateway)) continue;
      const int status = client.Ask(RequestOf(partner, journal(partner).Sent()));
      if (status == 429 && client.answer().find("Retry-After: ") != std::string::npos) ++refused_.at(partner);
    }
  }

  std::map<std::string, Journal> journals_ = [] {
    std::map<std::string, Journal> journals;
    journals["isar"], journals["lech"];
    return journals;
  }();
  Backend server_;
  Gateways gateways_;
  std::array<std::atomic<bool>, Gateways::kAll> on_{};
  std::atomic<bool> over_ = false;
  std::map<std::string, std::atomic<int>> refused_ = [] {
    std::map<std::string, std::atomic<int>> refused;
    refused["isar"], refused["lech"];
    return refused;
  }();
  std::vector<std::thread> clients_;
};

}  // namespace load_balancer::testing::federation

#endif  // LOAD_BALANCER_TESTS_FEDERATION_QUOTA_BED_H_
