// SPDX-License-Identifier: Apache-2.0
//
// Shared by the tests of the overflow between sites: sites with loopback addresses, estimates, requests, and
// an OverflowRouter with a clock.
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

// Returns sites a, b, c, ..., each with gateways 1, 2, ... The gateways of site number i have the addresses
// 127.0.i.x.
inline Directory MakeSites(int sites, int gateways) {
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

// Returns an estimate of a site that has had spare capacity for an hour.
inline Estimate SpareEstimate(const std::string& site, std::uint64_t mean) {
  return {site, 1, kWall, mean, mean, 0, 1, false, 3600000};
}
// Returns an estimate of a site that has been over capacity for an hour.
inline Estimate OverEstimate(const std::string& site) { return {site, 1, kWall, 0, 0, 0, 1, true, 3600000}; }

// RouterFixture is gateway 1 of site a, which is over capacity. Its clock moves only when the test moves it.
struct RouterFixture {
  explicit RouterFixture(int sites, Options settings = {}, int gateways = 1)
      : options(settings), router(options, MakeSites(sites, gateways), "a", 7, kStart) {
    Receive(OverEstimate("a"));
  }

  Time now() const { return kStart + passed; }
  // Delivers an estimate that is made now.
  void Receive(Estimate estimate) {
    estimate.made_at = kWall + static_cast<UnixMs>(passed.count());
    Handle(EstimateReceived{estimate, estimate.made_at});
  }
  const std::vector<Action>& Handle(const Event& event) {
    actions.clear();
    router.Handle(now(), event, &actions);
    return actions;
  }
  // Returns the first action of the type among those of the last event.
  template <typename T>
  std::optional<T> Find() const {
    for (const Action& action : actions)
      if (const T* found = std::get_if<T>(&action)) return *found;
    return std::nullopt;
  }
  // Offers the request to the router. Returns its destination, or nothing if it is given up.
  std::optional<RemoteGateway> Offer(const RejectedRequest& request) {
    Handle(request);
    const auto sent = Find<ForwardTo>();
    EXPECT_NE(sent.has_value(), Find<GiveUp>().has_value());
    return sent ? std::optional(sent->destination) : std::nullopt;
  }
  // Advances the clock by `time`, so that the token buckets refill. Renews the estimates in the meantime.
  void Pass(Milliseconds time, const std::vector<Estimate>& estimates) {
    for (const Milliseconds end = passed + time; passed < end;) {
      passed += Milliseconds(100);
      Receive(OverEstimate("a"));
      for (const Estimate& estimate : estimates) Receive(estimate);
      Handle(Tick{});
    }
  }

  Options options;
  Milliseconds passed{0};
  std::vector<Action> actions;
  OverflowRouter router;
};

// Returns an idempotent request that every rule allows to be forwarded.
inline RejectedRequest IdempotentRequest(RequestId id) {
  RejectedRequest request;
  request.request = id;
  request.idempotency = Idempotency::kIdempotent;
  request.latency_objective_left = request.deadline_left = std::chrono::seconds(1);
  request.work_ms = 10;
  request.priority_weight = 1;
  return request;
}

}  // namespace load_balancer::overflow

#endif  // LOAD_BALANCER_TESTS_OVERFLOW_FIXTURE_H_
