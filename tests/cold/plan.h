// SPDX-License-Identifier: Apache-2.0
//
// What happens on one drawn day of a fleet whose servers start cold: settings, servers, traffic and troubles.
// All of it follows from the deployment, the number of processes and the seed.
#ifndef LOAD_BALANCER_TESTS_COLD_PLAN_H_
#define LOAD_BALANCER_TESTS_COLD_PLAN_H_

#include <cstdint>
#include <random>
#include <vector>

#include "load_balancer/balancer.h"

namespace load_balancer::cold {

// Deterministic from its seed on every platform, as the standard distributions are not.
class Draw {
 public:
  explicit Draw(std::uint64_t seed) : engine_(seed) {}

  std::uint64_t Seed() { return engine_(); }
  double Unit() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }
  bool Chance(double p) { return Unit() < p; }
  double Between(double low, double high) { return low + (high - low) * Unit(); }
  std::size_t Below(std::size_t n) { return engine_() % n; }
  double Exponential(double mean);
  double Lognormal(double mean, double variation);  // variation: deviation over mean
  std::size_t ByWeight(const std::vector<double>& weights);

 private:
  std::mt19937_64 engine_;
};

// The ranges that a deployment's days are drawn from.
struct Range {
  double low = 0, high = 0;
};
struct Deployment {
  Range servers, cores, speed, slow_start_min_share, slow_start_window, overload_multiple, overload_window;
  bool hinted = true;  // requests come with a hint of their work
};

// Few servers of many cores that are warm within seconds.
inline constexpr Deployment kManyCores{{12, 16},     {5, 6},   {0.55, 1.5},  {0.3, 0.6},
                                       {5000, 9000}, {2.5, 3}, {1500, 3000}, true};
// One core each, an eighth of it at the start, warm late; nobody tells the work of a request.
inline constexpr Deployment kOneCore{{10, 20},       {1, 1},   {0.85, 1.7},  {0.12, 0.3},
                                     {10000, 23000}, {2.5, 3}, {1500, 3000}, false};

struct ServerPlan {
  double cores = 1, speed = 1;  // speed of a core over the standard one
  double slow_start_min_share = 1, slow_start_window = 0;
};

struct Trouble {
  enum class Kind { kServerStarts, kServerCrashes, kServerFails, kProcessRestarts };
  Kind kind{};
  std::size_t index = 0;  // of the server or process
  double at = 0, length = 0;
  double share = 0;  // kServerFails: of requests answered with an error
};

struct Plan {
  Settings settings;  // of process 0
  std::size_t processes = 1;
  std::vector<double> weights, later_weights;  // of the processes' traffic, before and after shift_at
  double shift_at = 0;
  std::vector<ServerPlan> servers;
  std::size_t first_servers = 0;  // of them listed from the beginning
  double mean_work = 100, variation = 1;
  bool hinted = true;
  double requests_per_ms = 0;
  double burst_from = 0, burst_until = 0;  // half as much again
  double slow_dials = 0;                   // share of attempts whose connection comes up late
  int client_retries = 0;
  double try_share = 1, backoff = 100, honour = 1;  // of the deadline; ms; share that waits when told to
  std::vector<Trouble> troubles;
  double length = 0;
};

Plan DrawPlan(const Deployment& deployment, std::size_t processes, std::uint64_t seed);

}  // namespace load_balancer::cold

#endif  // LOAD_BALANCER_TESTS_COLD_PLAN_H_
