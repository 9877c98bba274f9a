// SPDX-License-Identifier: Apache-2.0
//
// What clients ask of the gateways of the model, and what is counted of it.
#ifndef LOAD_BALANCER_MODEL_OVERFLOW_TRAFFIC_H_
#define LOAD_BALANCER_MODEL_OVERFLOW_TRAFFIC_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <random>

#include "load_balancer/balancer.h"
#include "model/program.h"
#include "overflow/rules.h"

namespace load_balancer::model {

struct Demand {
  Idempotency idempotency;
  double share;  // of all requests
  double priority_weight, work_ms;
  std::chrono::milliseconds latency_objective, deadline;
};
inline constexpr std::array<Demand, 3> kDemands{
    {{Idempotency::kIdempotent, 0.6, 1, 15, std::chrono::milliseconds(400), std::chrono::milliseconds(1000)},
     {Idempotency::kNotIdempotent, 0.3, 4, 25, std::chrono::milliseconds(800),
      std::chrono::milliseconds(1500)},
     {Idempotency::kIdempotent, 0.1, 0.5, 50, std::chrono::milliseconds(1000),
      std::chrono::milliseconds(2000)}}};
inline constexpr double kMeanWork = 0.6 * 15 + 0.3 * 25 + 0.1 * 50;  // ms

struct Ask {
  std::uint64_t id = 0;
  std::size_t site = 0;  // where it came in
  const Demand* demand = nullptr;
  double work_ms = 0;  // half to one and a half times its demand's
  std::uint64_t key = 0;
  Moment at{};  // true time
};

// By site of entry.
struct Tally {
  std::uint64_t asked = 0, answered = 0, given_up = 0, spilled = 0;
  double offered = 0, own = 0, elsewhere = 0;  // worth; of the latter two what was answered within its aim
  std::array<double, overflow::kWhys> lost{};  // worth given up by estimates, by Why
  double late = 0;                             // worth answered past its aim
  double served() const { return own + elsewhere; }
  void Add(const Tally& other) {
    asked += other.asked;
    answered += other.answered;
    given_up += other.given_up;
    spilled += other.spilled;
    offered += other.offered;
    own += other.own;
    elsewhere += other.elsewhere;
    late += other.late;
    for (std::size_t i = 0; i < lost.size(); ++i) lost[i] += other.lost[i];
  }
};

// One gateway's clients: a Poisson process whose draws depend on the seed alone, so that the same requests
// come whatever becomes of them.
class Clients {
 public:
  explicit Clients(std::uint64_t seed) : random_(seed) {}
  // Until the next one, at `per_s` requests a second.
  Moment Gap(double per_s) {
    const double s = std::exponential_distribution<double>(per_s)(random_);
    return std::chrono::duration_cast<Moment>(std::chrono::duration<double>(s));
  }
  Ask Draw() {
    double of = Unit();
    std::size_t which = 0;
    while (which + 1 < kDemands.size() && of >= kDemands[which].share) of -= kDemands[which++].share;
    Ask ask;
    ask.demand = &kDemands[which];
    ask.work_ms = ask.demand->work_ms * (0.5 + Unit());
    ask.key = Unit() < 0.5 ? 0 : 1 + static_cast<std::uint64_t>(Unit() * 500);
    return ask;
  }

 private:
  double Unit() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  std::mt19937_64 random_;
};

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_OVERFLOW_TRAFFIC_H_
