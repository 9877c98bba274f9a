// SPDX-License-Identifier: Apache-2.0
#include "plan.h"

#include <cmath>
#include <numbers>

namespace load_balancer::cold {
namespace {

constexpr double kDayMs = 36000;
constexpr double kColdEventsFromMs = 3000, kColdEventsUntilMs = 26000;

ClassSettings Class(Idempotency idempotency, double latency_objective, double deadline,
                    double priority_weight) {
  ClassSettings c;
  c.idempotency = idempotency;
  c.latency_objective = Duration(latency_objective);
  c.deadline = Duration(deadline);
  c.priority_weight = priority_weight;
  c.late_priority_share = 0.2;
  return c;
}

double In(Draw& draw, const Range& range) { return draw.Between(range.low, range.high); }

Settings DrawSettings(Draw& draw, const Deployment& deployment, std::size_t processes) {
  Settings s;
  s.balancer_count = static_cast<int>(processes);
  s.classes = {Class(Idempotency::kIdempotent, 600, 2000, 2), Class(Idempotency::kIdempotent, 1000, 4000, 1),
               Class(Idempotency::kNotIdempotent, 1000, 3000, 5)};
  s.max_attempts = draw.Chance(0.5) ? 6 : 3;
  s.max_retry_after = Duration(2000);
  s.tick = Duration(5);
  s.slow_start_min_share = In(draw, deployment.slow_start_min_share);
  s.slow_start_window = Duration(In(draw, deployment.slow_start_window));
  s.overload_multiple = In(draw, deployment.overload_multiple);
  s.overload_window = Duration(In(draw, deployment.overload_window));
  return s;
}

// Most processes get about the same, some several times the mean.
std::vector<double> DrawWeights(Draw& draw, std::size_t processes) {
  std::vector<double> weights;
  for (std::size_t i = 0; i < processes; ++i)
    weights.push_back(draw.Chance(0.15) ? draw.Between(2, 5) : draw.Between(0.4, 1.2));
  return weights;
}

// The settings are what all servers have at the least; half of them have more.
ServerPlan DrawServer(Draw& draw, const Deployment& deployment, const Settings& settings) {
  ServerPlan server;
  server.cores = std::round(In(draw, deployment.cores));
  server.speed = In(draw, deployment.speed);
  const bool better = draw.Chance(0.5);
  server.slow_start_min_share =
      std::min(0.9, settings.slow_start_min_share * (better ? draw.Between(1, 1.4) : 1));
  server.slow_start_window = settings.slow_start_window.count() * (better ? draw.Between(0.6, 1) : 1);
  return server;
}

// Servers join, crash and come back, at once or one by one; others answer with errors meanwhile.
void DrawServerTroubles(Draw& draw, Plan& plan) {
  using Kind = Trouble::Kind;
  const bool together = draw.Chance(0.5);
  const double moment = draw.Between(kColdEventsFromMs, kColdEventsUntilMs - 12000);
  for (std::size_t s = plan.first_servers; s < plan.servers.size(); ++s) {
    const double at = together ? moment : draw.Between(kColdEventsFromMs, kColdEventsUntilMs);
    plan.troubles.push_back({Kind::kServerStarts, s, at, 0, 0});
  }
  const std::size_t crashes = 1 + draw.Below(1 + plan.first_servers / 4);
  const std::size_t first = draw.Below(plan.first_servers);
  for (std::size_t k = 0; k < crashes; ++k) {
    const double away = draw.Chance(0.2) ? draw.Between(500, 2000) : draw.Between(4000, 12000);
    const double at = together ? moment : draw.Between(kColdEventsFromMs, kColdEventsUntilMs) - 2000;
    plan.troubles.push_back({Kind::kServerCrashes, (first + k) % plan.first_servers, at, away, 0});
  }
  const std::size_t failing = draw.Below(1 + plan.first_servers / 5);
  for (std::size_t k = 0; k < failing; ++k) {
    plan.troubles.push_back({Kind::kServerFails, (first + crashes + k) % plan.first_servers,
                             draw.Between(2000, kColdEventsUntilMs), draw.Between(5000, 15000),
                             draw.Between(0.3, 1)});
  }
}

// Some processes are killed and start anew, half of them about when servers start.
void DrawProcessTroubles(Draw& draw, Plan& plan) {
  const double moment = plan.troubles.front().at;
  for (std::size_t p = 0; p < plan.processes; ++p) {
    if (!draw.Chance(0.2)) continue;
    const double at = draw.Chance(0.5) ? moment + draw.Between(-1500, 3000)
                                       : draw.Between(kColdEventsFromMs, kColdEventsUntilMs);
    plan.troubles.push_back({Trouble::Kind::kProcessRestarts, p, at, draw.Between(200, 1500), 0});
  }
}

}  // namespace

double Draw::Exponential(double mean) { return -mean * std::log1p(-Unit()); }

double Draw::Lognormal(double mean, double variation) {
  const double variance = std::log1p(variation * variation);
  const double normal = std::sqrt(-2 * std::log1p(-Unit())) * std::cos(2 * std::numbers::pi * Unit());
  return mean * std::exp(std::sqrt(variance) * normal - variance / 2);
}

std::size_t Draw::ByWeight(const std::vector<double>& weights) {
  double sum = 0;
  for (const double weight : weights) sum += weight;
  double left = Unit() * sum;
  std::size_t i = 0;
  while (i + 1 < weights.size() && left >= weights[i]) left -= weights[i++];
  return i;
}

Plan DrawPlan(const Deployment& deployment, std::size_t processes, std::uint64_t seed) {
  Draw draw(seed);
  Plan plan;
  plan.settings = DrawSettings(draw, deployment, processes);
  plan.processes = processes;
  plan.weights = DrawWeights(draw, processes);
  plan.later_weights = DrawWeights(draw, processes);
  plan.shift_at = draw.Between(kColdEventsFromMs, kColdEventsUntilMs);
  plan.first_servers = static_cast<std::size_t>(In(draw, deployment.servers));
  double capacity = 0;
  for (std::size_t s = 0; s < plan.first_servers; ++s) {
    plan.servers.push_back(DrawServer(draw, deployment, plan.settings));
    capacity += plan.servers.back().cores * plan.servers.back().speed;
  }
  const std::size_t joiners = 1 + draw.Below(4);
  for (std::size_t s = 0; s < joiners; ++s)
    plan.servers.push_back(DrawServer(draw, deployment, plan.settings));
  plan.mean_work = draw.Between(80, 130);
  plan.variation = draw.Between(0.7, 1.5);
  plan.hinted = deployment.hinted;
  plan.requests_per_ms = draw.Between(0.55, 0.95) * capacity / plan.mean_work;
  plan.burst_from = draw.Between(kColdEventsFromMs, kColdEventsUntilMs - 6000);
  plan.burst_until = plan.burst_from + draw.Between(4000, 12000);
  plan.slow_dials = draw.Chance(0.5) ? 0 : draw.Between(0, 0.2);
  plan.client_retries = static_cast<int>(1 + draw.Below(3));
  plan.try_share = draw.Between(0.4, 0.8);
  plan.backoff = draw.Between(20, 160);
  plan.honour = draw.Between(0.5, 1);
  DrawServerTroubles(draw, plan);
  DrawProcessTroubles(draw, plan);
  plan.length = kDayMs;
  return plan;
}

}  // namespace load_balancer::cold
