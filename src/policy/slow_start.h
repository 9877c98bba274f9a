// SPDX-License-Identifier: Apache-2.0
/// @file
/// Slow start: limits the work that a server may be sent just after its start.
#ifndef LOAD_BALANCER_SRC_POLICY_SLOW_START_H_
#define LOAD_BALANCER_SRC_POLICY_SLOW_START_H_

#include "policy/server_list.h"
#include "policy/traffic_statistics.h"

namespace load_balancer {

/// Limits the work that a server in slow start is sent within Settings::overload_window. A server that is not
/// in slow start is called warm.
///
/// The budget of a server is the work that a warm server does for this proxy, times the server's present
/// share of its capacity. If all proxies apply this rule, the server gets that share of a warm server's total
/// work, however the traffic is distributed among the proxies. If the budget is less than one request per
/// window, the server is sent single requests, each after the time in which the budget adds up to one
/// request. The first of them is sent at a random time within that interval, so that many proxies do not send
/// at the same time.
class SlowStart {
 public:
  SlowStart(Context& context, const ServerList& servers, const TrafficStatistics& traffic)
      : context_(context), servers_(servers), traffic_(traffic) {}

  /// Returns whether the server may be sent `work` now. Forgets sends that are older than the window.
  bool Admits(Server& server, double work) const;

  /// Records that the server is sent `work` now.
  void RecordSend(Server& server, double work) const;

  /// Updates the work rate of a warm server; `elapsed` is the time since the last call.
  void UpdateWarmRate(Duration elapsed);
  void RestoreWarmRate(double work_per_ms) { warm_work_per_ms_ = work_per_ms; }
  [[nodiscard]] double warm_work_per_ms() const { return warm_work_per_ms_; }

  /// Sets the number of processes that act as this proxy, which share the budget equally.
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
