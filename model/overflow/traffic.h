// SPDX-License-Identifier: Apache-2.0
//
// The requests that clients send to the gateways of the model, and the counts of their outcomes.
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

// RequestClass describes one class of requests.
struct RequestClass {
  Idempotency idempotency;
  double fraction;  // of all requests
  double priority_weight, work_ms;
  std::chrono::milliseconds latency_objective, deadline;
};
inline constexpr std::array<RequestClass, 3> kRequestClasses{
    {{Idempotency::kIdempotent, 0.6, 1, 15, std::chrono::milliseconds(400), std::chrono::milliseconds(1000)},
     {Idempotency::kNotIdempotent, 0.3, 4, 25, std::chrono::milliseconds(800),
      std::chrono::milliseconds(1500)},
     {Idempotency::kIdempotent, 0.1, 0.5, 50, std::chrono::milliseconds(1000),
      std::chrono::milliseconds(2000)}}};
// The sum over all classes of fraction x work.
inline constexpr double kMeanWorkMs = 0.6 * 15 + 0.3 * 25 + 0.1 * 50;

// ModelRequest is one request of a client.
struct ModelRequest {
  std::uint64_t id = 0;
  std::size_t site = 0;  // the site at which it arrived
  const RequestClass* request_class = nullptr;
  double work_ms = 0;  // 50 % to 150 % of the work of its class
  std::uint64_t key = 0;
  Moment at{};  // true time of its arrival
};

// Tally counts the requests that arrived at one site. The weights are sums of priority weights.
struct Tally {
  std::uint64_t received = 0, answered = 0, given_up = 0, forwarded = 0;
  // `offered` is the weight of all requests. `own` and `elsewhere` are the weights of requests that this site
  // and other sites answered within the latency objective.
  double offered = 0, own = 0, elsewhere = 0;
  std::array<double, overflow::kReasonCount> lost{};  // weight that Strategy::kEstimates gave up, by reason
  double late = 0;  // weight of requests answered after the latency objective
  double served() const { return own + elsewhere; }
  void Add(const Tally& other) {
    received += other.received;
    answered += other.answered;
    given_up += other.given_up;
    forwarded += other.forwarded;
    offered += other.offered;
    own += other.own;
    elsewhere += other.elsewhere;
    late += other.late;
    for (std::size_t i = 0; i < lost.size(); ++i) lost[i] += other.lost[i];
  }
};

// Clients generates the requests of one gateway as a Poisson process. The random numbers depend only on the
// seed, so that all runs with the same seed have the same requests, whatever the outcomes of the requests.
class Clients {
 public:
  explicit Clients(std::uint64_t seed) : random_(seed) {}
  // Returns the time until the next request, at `per_s` requests per second.
  Moment Gap(double per_s) {
    const double s = std::exponential_distribution<double>(per_s)(random_);
    return std::chrono::duration_cast<Moment>(std::chrono::duration<double>(s));
  }
  // Returns the next request, without its id, site and time.
  ModelRequest Draw() {
    double point = Unit();
    std::size_t index = 0;
    while (index + 1 < kRequestClasses.size() && point >= kRequestClasses[index].fraction)
      point -= kRequestClasses[index++].fraction;
    ModelRequest request;
    request.request_class = &kRequestClasses[index];
    request.work_ms = request.request_class->work_ms * (0.5 + Unit());
    request.key = Unit() < 0.5 ? 0 : 1 + static_cast<std::uint64_t>(Unit() * 500);
    return request;
  }

 private:
  double Unit() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  std::mt19937_64 random_;
};

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_OVERFLOW_TRAFFIC_H_
