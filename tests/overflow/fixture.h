// SPDX-License-Identifier: Apache-2.0
//
// What the tests of spilling share: sites with loopback addresses, estimates, and a Spill with its clock.
#ifndef LOAD_BALANCER_TESTS_OVERFLOW_FIXTURE_H_
#define LOAD_BALANCER_TESTS_OVERFLOW_FIXTURE_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "overflow/overflow_router.h"

namespace load_balancer::overflow {

inline constexpr UnixMs kWall = 1700000000000;
inline constexpr Time kStart{std::chrono::hours(1)};

// Sites a, b, c, ..., each with gateways 1, 2, ...: site i at 127.0.i.x.
inline Directory Sites(int sites, int gateways) {
  Directory directory;
  for (int s = 0; s < sites; ++s)
    for (int g = 1; g <= gateways; ++g) {
      const auto address =
          boost::asio::ip::make_address("127.0." + std::to_string(s) + "." + std::to_string(g));
      directory[std::string(1, static_cast<char>('a' + s))][std::to_string(g)] = {{address, 7900},
                                                                                  {address, 8080}};
    }
  return directory;
}

inline Estimate Spare(const std::string& site, std::uint64_t mean) {
  return {site, 1, kWall, mean, mean, 0, 1, false, 3600000};
}
inline Estimate Over(const std::string& site) { return {site, 1, kWall, 0, 0, 0, 1, true, 3600000}; }

// Gateway 1 of site a, which is over capacity; its clock stands unless moved.
struct Bed {
  explicit Bed(int sites, Options set = {}, int gateways = 1)
      : options(set), spill(options, Sites(sites, gateways), "a", 7, kStart) {
    Hear(Over("a"));
  }

  Time now() const { return kStart + passed; }
  void Hear(Estimate estimate) {
    estimate.made_at = kWall + static_cast<UnixMs>(passed.count());
    Do(EstimateHeard{estimate, estimate.made_at});
  }
  const std::vector<Action>& Do(const Event& event) {
    actions.clear();
    spill.Handle(now(), event, &actions);
    return actions;
  }
  template <typename T>
  std::optional<T> Find() const {
    for (const Action& action : actions)
      if (const T* found = std::get_if<T>(&action)) return *found;
    return std::nullopt;
  }
  // Where a request goes; nothing: it is given up.
  std::optional<Neighbour> Refuse(const Refused& request) {
    Do(request);
    const auto sent = Find<SendTo>();
    EXPECT_NE(sent.has_value(), Find<GiveUp>().has_value());
    return sent ? std::optional(sent->neighbour) : std::nullopt;
  }
  // Time for the shares to fill, with estimates as they are renewed.
  void Pass(Milliseconds time, const std::vector<Estimate>& estimates) {
    for (const Milliseconds end = passed + time; passed < end;) {
      passed += Milliseconds(100);
      Hear(Over("a"));
      for (const Estimate& estimate : estimates) Hear(estimate);
      Do(Tick{});
    }
  }

  Options options;
  Milliseconds passed{0};
  std::vector<Action> actions;
  Spill spill;
};

inline Refused Safe(RequestId id) {
  Refused request;
  request.request = id;
  request.idempotency = Idempotency::kIdempotent;
  request.latency_objective_left = request.deadline_left = std::chrono::seconds(1);
  request.work_ms = 10;
  request.priority_weight = 1;
  return request;
}

}  // namespace load_balancer::overflow

#endif  // LOAD_BALANCER_TESTS_OVERFLOW_FIXTURE_H_
