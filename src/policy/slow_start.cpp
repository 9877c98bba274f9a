// SPDX-License-Identifier: Apache-2.0
#include "policy/slow_start.h"

#include <algorithm>

namespace load_balancer {
namespace {

// Share of the overload multiple that is used. The rest is for random fluctuation and delayed list updates.
constexpr double kSafetyFactor = 0.55;
// Smallest capacity that a warm server can have, in standard cores.
constexpr double kMinCores = 0.25;
// Averaging time of the work rate of warm servers. It is long, as the servers' cores do not change.
constexpr Duration kWarmRateMemory{30000};
// Ratio of the window to which the budget applies to the overload window. The longer window allows for
// delays.
constexpr double kWindowFactor = 1.1;

}  // namespace

bool SlowStart::Admits(Server& server, double work) const {
  const double capacity_share = servers_.CapacityShare(server);
  if (capacity_share >= 1) return true;
  const Settings& settings = context_.settings();
  const TimePoint now = context_.now();
  const Duration window = settings.overload_window * kWindowFactor;
  SlowStartState& state = server.slow_start;
  std::erase_if(state.sent, [&](const SentWork& sent) { return now - sent.sent_at > window; });
  double work_in_window = work;
  for (const SentWork& sent : state.sent) work_in_window += sent.work;
  // Both the work and the number of requests are limited: small requests tend to go to slow servers, and a
  // limit on work alone would admit many of them.
  const double mean_work = traffic_.request_work().mean();
  const double counted = std::max(work_in_window, mean_work * static_cast<double>(state.sent.size() + 1));
  const double rate = BudgetRate(server, capacity_share);
  if (counted <= rate * settings.overload_window.count()) return true;
  const double min_rate = settings.overload_multiple * settings.slow_start_min_share * kMinCores /
                          (settings.balancer_count * processes_);
  const double effective_rate = std::max(rate, min_rate);
  if (!(effective_rate > 0)) return false;
  const Duration between_sends = std::max(window, Duration(std::max(work, mean_work) / effective_rate));
  return now - state.last_sent_at >= state.wait_fraction * between_sends;
}

// Returns the work that the server may be sent, in ms of work per ms.
double SlowStart::BudgetRate(const Server& server, double capacity_share) const {
  const double slowness = server.slowness.At(context_.now());
  // The slowdown relative to a warm server that has only this share of its capacity.
  const double slowdown = std::max(1.0, slowness * capacity_share);
  return kSafetyFactor * context_.settings().overload_multiple * capacity_share * warm_work_per_ms_ /
         processes_ / slowdown;
}

void SlowStart::RecordSend(Server& server, double work) const {
  SlowStartState& state = server.slow_start;
  if (servers_.CapacityShare(server) < 1) state.sent.push_back({context_.now(), work});
  state.last_sent_at = context_.now();
  state.wait_fraction = 1;
}

// The rate is an average over all servers, as a single server sends too few responses. A new proxy uses the
// work requested until it has enough attempts. The rate falls slowly, because during a rolling deploy there
// may be no warm server to measure.
void SlowStart::UpdateWarmRate(Duration elapsed) {
  if (servers_.capacity_in_service() <= 0) return;
  const double served = traffic_.work_served_per_ms();
  const double fleet_rate =
      traffic_.has_enough_attempts() ? served : std::max(served, traffic_.work_requested_per_ms());
  const double rate = fleet_rate / servers_.capacity_in_service();
  warm_work_per_ms_ += std::min(1.0, elapsed / kWarmRateMemory) * (rate - warm_work_per_ms_);
  warm_work_per_ms_ = std::max(warm_work_per_ms_, rate);
}

void SlowStart::SetProcesses(int processes) { processes_ = std::max(1, processes); }

}  // namespace load_balancer
