// SPDX-License-Identifier: Apache-2.0
/// @file
/// Slow start: how much work a server that has just started may be sent.
#ifndef LOAD_BALANCER_SRC_POLICY_SLOW_START_H_
#define LOAD_BALANCER_SRC_POLICY_SLOW_START_H_

#include "policy/server_list.h"
#include "policy/traffic_statistics.h"

namespace load_balancer {

/// Limits the work that servers in slow start are sent, within the window of Settings::overload_window.
///
/// A server in slow start gets its present share of what a warm server serves for this proxy. If all proxies
/// do so, the sum is that share of what a warm server can do, whatever part of the traffic each proxy has.
/// Where that is less than one request, one may go once the budget has paid for it; the first at a random
/// point of that time, since many proxies must not start together.
class SlowStart {
 public:
  SlowStart(Context& context, const ServerList& servers, const TrafficStatistics& traffic)
      : context_(context), servers_(servers), traffic_(traffic) {}

  /// Whether the server may be sent `work` now. Forgets sends that have left the window.
  bool Admits(Server& server, double work) const;

  /// The server is sent `work` now.
  void RecordSend(Server& server, double work) const;

  /// Learns what a warm server serves, `elapsed` after the last call.
  void UpdateWarmRate(Duration elapsed);
  void RestoreWarmRate(double work_per_ms) { warm_work_per_ms_ = work_per_ms; }
  [[nodiscard]] double warm_work_per_ms() const { return warm_work_per_ms_; }

  /// Processes that are this one proxy: each takes its part of the budget.
  void SetProcesses(int processes);

 private:
  [[nodiscard]] double BudgetRate(const Server& server, double capacity_share) const;

  Context& context_;
  const ServerList& servers_;
  const TrafficStatistics& traffic_;
  double warm_work_per_ms_ = 0;
  int processes_ = 1;
};

}  // namespace load_balancer

#endif  // LOAD_BALANCER_SRC_POLICY_SLOW_START_H_
