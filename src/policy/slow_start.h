// SPDX-License-Identifier: Apache-2.0
// What a server that has just started may be sent.
#ifndef LOAD_BALANCER_SRC_POLICY_SLOW_START_H_
#define LOAD_BALANCER_SRC_POLICY_SLOW_START_H_

#include "policy/server_list.h"
#include "policy/traffic_statistics.h"

namespace load_balancer {

constexpr double kColdCaution = 0.55;       // of the fall multiple: the rest is for chance and for late news
constexpr double kColdLeast = 0.25;         // standard cores that a warm server has at the very least
constexpr Duration kWarmRateMemory{30000};  // of what a warm server serves: it does not lose its cores
constexpr double kWindowSlack = 1.1;        // rolling window of the cold budget over the rule's, for delays

struct ColdBudget {
  const Context& x;
  const ServerList& servers;
  const Traffic& traffic;
  double warm_rate = 0;  // work a ms that a warm server serves for this proxy
  int processes = 1;     // that are this one proxy

  // A cold server gets, over the rule's window, its share of what a warm one serves for this proxy. All
  // proxies doing so, their sum is that share of what a warm server can do, whatever part of the traffic each
  // has; an overloaded fleet is sent far more. Where that budget is less than a request, one may go when the
  // budget has paid for it, the first at a random point of that time: many proxies must not start together.
  bool Fits(Server& s, double hinted) const {
    const double share = servers.WarmShare(s);
    if (share >= 1) return true;
    const Duration window = x.settings.overload_window * kWindowSlack;
    std::erase_if(s.sent, [&](const auto& sent) { return x.now - sent.first > window; });
    double sent = hinted;
    for (const auto& [at, work] : s.sent) sent += work;
    // By work and by number: slow servers get the small ones, and one that started had got four times the
    // number it could bear.
    const double mean = traffic.request_work.mean;
    const double counted = std::max(sent, mean * static_cast<double>(s.sent.size() + 1));
    const double weaker = std::max(1.0, s.SlownessAt(x.now) * share);  // than a warm one at its share
    const double rate = kColdCaution * x.settings.overload_multiple * share * warm_rate / processes / weaker;
    if (counted <= rate * x.settings.overload_window.count()) return true;
    const double least = x.settings.overload_multiple * x.settings.slow_start_min_share * kColdLeast /
                         (x.settings.balancer_count * processes);
    const double paid = std::max(rate, least);
    return paid > 0 &&
           x.now - s.turn_since >= s.turn_phase * std::max(window, Duration(std::max(hinted, mean) / paid));
  }

  void Sent(Server& s, double work) const {
    if (servers.WarmShare(s) < 1) s.sent.emplace_back(x.now, work);
    s.turn_since = x.now, s.turn_phase = 1;
  }

  // Pooled over the fleet, as one server's own answers are too few to tell. A young proxy goes by what it is
  // asked for. What was seen once holds for a while: a rolling deploy may leave no warm server to learn from.
  void Learn(Duration elapsed) {
    if (servers.in_service <= 0) return;
    const double now_rate =
        (traffic.outcomes < kYoung ? std::max(traffic.work_rate, traffic.asked_rate) : traffic.work_rate) /
        servers.in_service;
    warm_rate += std::min(1.0, elapsed / kWarmRateMemory) * (now_rate - warm_rate);
    warm_rate = std::max(warm_rate, now_rate);
  }
};

}  // namespace load_balancer

#endif  // LOAD_BALANCER_SRC_POLICY_SLOW_START_H_
