// SPDX-License-Identifier: Apache-2.0
#include "policy/slow_start.h"

#include <algorithm>

namespace load_balancer {
namespace {

constexpr double kSafetyFactor = 0.55;  // of the overload multiple: the rest is for chance and for late lists
constexpr double kMinCores = 0.25;      // standard cores that a warm server has at the very least
constexpr Duration kWarmRateMemory{30000};  // averaging time: servers do not lose their cores
constexpr double kWindowFactor = 1.1;       // the budget's window over the overload window, for delays

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
  // Requests count by their work and by their number: slow servers get the small ones, many of which would
  // fit.
  const double mean_work = traffic_.request_work().mean();
  const double counted = std::max(work_in_window, mean_work * static_cast<double>(state.sent.size() + 1));
  const double rate = BudgetRate(server, capacity_share);
  if (counted <= rate * settings.overload_window.count()) return true;
  const double min_rate = settings.overload_multiple * settings.slow_start_min_share * kMinCores /
                          (settings.balancer_count * processes_);
  const double paid_rate = std::max(rate, min_rate);
  if (!(paid_rate > 0)) return false;
  const Duration between_sends = std::max(window, Duration(std::max(work, mean_work) / paid_rate));
  return now - state.last_sent_at >= state.wait_fraction * between_sends;
}

// In ms of work a ms.
double SlowStart::BudgetRate(const Server& server, double capacity_share) const {
  const double slowness = server.slowness.At(context_.now());
  const double weakness = std::max(1.0, slowness * capacity_share);  // against a warm server at that share
  return kSafetyFactor * context_.settings().overload_multiple * capacity_share * warm_work_per_ms_ /
         processes_ / weakness;
}

void SlowStart::RecordSend(Server& server, double work) const {
  SlowStartState& state = server.slow_start;
  if (servers_.CapacityShare(server) < 1) state.sent.push_back({context_.now(), work});
  state.last_sent_at = context_.now();
  state.wait_fraction = 1;
}

// The rate is averaged over the servers, as one server's own responses are too few. A new proxy goes by what
// it is asked for. What was seen once is kept for a while: during a rolling deploy there may be no warm
// server to learn from.
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
