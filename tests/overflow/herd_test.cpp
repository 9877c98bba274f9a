// SPDX-License-Identifier: Apache-2.0
//
// Guards against a thundering herd: many gateways that learn of the same spare capacity must not overload the
// site that has it. Sites change state in any order, and the network loses and delays estimates. All gateways
// together must still forward to a site at most the capacity that it offers plus the configured slack.
#include <gtest/gtest.h>

#include <memory>
#include <queue>

#include "fixture.h"
#include "overflow/estimate_publisher.h"

namespace load_balancer::overflow {
namespace {

constexpr Milliseconds kStep{50};
constexpr double kMaxWork = 8;  // ms, of one request

struct Lease {
  bool IsValid(Time) const { return true; }
  std::uint64_t token() const { return 1; }
};

// Herd runs the gateways of all sites. Site a has a given spare capacity. The other sites go over capacity
// and back at random, and at these moments many gateways stop receiving estimates of the site for a while.
// Each estimate is lost or delayed at random. The wall clocks differ by up to the permitted skew.
struct Herd {
  Herd(int sites, int gateways, unsigned seed) : random(seed), directory(MakeSites(sites, gateways)) {
    for (const auto& [site, members] : directory) {
      publishers.try_emplace(site, options, site);
      skew[site] = Below(static_cast<int>(options.max_clock_skew.count()));
      for (std::size_t i = 0; i < members.size(); ++i)
        routers.push_back(
            {site, std::make_unique<OverflowRouter>(options, directory, site, random(), kStart)});
    }
  }

  // Returns a random number from 0 to `bound` - 1.
  int Below(int bound) { return static_cast<int>(random() % static_cast<unsigned>(bound)); }
  UnixMs Wall(const std::string& site) const {
    return kWall + static_cast<UnixMs>(passed.count() + skew.at(site));
  }

  // Makes the estimate of each site and sends it to all gateways.
  void PublishEstimates(double spare) {
    for (auto& [site, publisher] : publishers) {
      const bool changes_state = site != "a" && Below(20) == 0;
      if (changes_state) over[site] = !over[site];
      const double mean = site == "a" ? spare : (over[site] ? 0 : 500);
      publisher.RecordMember(now(), "1", {mean, mean, Milliseconds(0)});
      const auto made = publisher.MakeEstimate(now(), Wall(site), Lease{});
      for (std::size_t to = 0; to < routers.size(); ++to) {
        Milliseconds& cut_off = cut_off_until[{to, site}];
        if (changes_state ? Below(2) == 0 : Below(60) == 0) cut_off = passed + Milliseconds(Below(6000));
        if (passed < cut_off || Below(100) < 20) continue;
        const int delay = Below(10) == 0 ? Below(6000) : Below(300);
        in_flight.push({passed + Milliseconds(delay), {to, *made}});
      }
    }
  }

  // Advances the clock by kStep, delivers the estimates that are due, and offers 20 requests to each gateway.
  void Step(double spare) {
    passed += kStep;
    if (passed.count() % 500 == 0) PublishEstimates(spare);
    std::vector<Action> actions;
    for (; !in_flight.empty() && in_flight.top().first <= passed; in_flight.pop()) {
      const auto& [to, estimate] = in_flight.top().second;
      auto& [site, router] = routers[to];
      router->Handle(now(), EstimateReceived{estimate, Wall(site)}, &actions);
    }
    for (auto& [site, router] : routers) {
      for (int i = 0; i < 20; ++i) {
        RejectedRequest request = IdempotentRequest(++last_id);
        request.work_ms = 1 + Below(static_cast<int>(kMaxWork));
        actions.clear();
        router->Handle(now(), request, &actions);
        for (const Action& action : actions)
          if (const auto* sent = std::get_if<ForwardTo>(&action); sent && sent->destination.site == "a")
            sent_to_a.emplace_back(passed.count(), request.work_ms);
        router->Handle(now(), ClientGone{request.request}, &actions);
      }
    }
  }

  Time now() const { return kStart + passed; }

  // The time of delivery, the number of the receiving gateway, and the estimate.
  using Delivery = std::pair<Milliseconds, std::pair<std::size_t, Estimate>>;
  struct IsLater {
    bool operator()(const Delivery& a, const Delivery& b) const { return a.first > b.first; }
  };
  Options options;
  std::mt19937_64 random;
  Directory directory;
  Milliseconds passed{0};
  std::map<std::string, EstimatePublisher> publishers;
  std::map<std::string, int> skew;  // ms, by site
  std::map<std::string, bool> over;
  std::map<std::pair<std::size_t, std::string>, Milliseconds>
      cut_off_until;  // end of the loss of estimates, by gateway and by sending site
  std::vector<std::pair<std::string, std::unique_ptr<OverflowRouter>>> routers;
  std::priority_queue<Delivery, std::vector<Delivery>, IsLater> in_flight;
  RequestId last_id = 0;
  std::vector<std::pair<std::int64_t, double>> sent_to_a;  // time and work, in ms
};

// Returns the largest amount by which the work that was forwarded in any time window exceeds `rate` times the
// length of the window. This is a maximum subarray sum (Kadane's algorithm).
double MaxExcess(const Herd& herd, double rate) {
  double excess = 0, max = 0;
  std::int64_t last = 0;
  for (const auto& [at, work] : herd.sent_to_a) {
    excess = std::max(0.0, excess - rate * static_cast<double>(at - last) / 1000) + work;
    max = std::max(max, excess);
    last = at;
  }
  return max;
}

TEST(Herd, NeverForwardsMoreThanTheOfferedCapacityAndTheSlack) {
  int forwarded = 0;
  for (unsigned seed = 1; seed <= 40; ++seed) {
    const int sites = 2 + static_cast<int>(seed) % 4, gateways = 1 + static_cast<int>(seed) % 2;
    const double spare = 200 + 70 * seed;
    Herd herd(sites, gateways, seed);
    while (herd.passed < Milliseconds(60000)) herd.Step(spare);
    const double rate = spare * herd.options.offered_fraction;
    const double slack =
        rate * std::chrono::duration<double>(herd.options.slack).count() + (sites - 1) * gateways * kMaxWork;
    EXPECT_LE(MaxExcess(herd, rate), slack + 1e-3) << "seed " << seed;
    forwarded += !herd.sent_to_a.empty();
  }
  EXPECT_GT(forwarded, 20);
}

TEST(Herd, UsesTheOfferedCapacity) {
  Herd herd(2, 1, 5);
  herd.over["b"] = true;
  while (herd.passed < Milliseconds(60000)) herd.Step(2000);
  double sum = 0;
  for (const auto& [at, work] : herd.sent_to_a) sum += work;
  EXPECT_GT(sum, 0.2 * 1000 * 60);  // 20 % of the offered 1000 ms of work per second, for 60 s
}

}  // namespace
}  // namespace load_balancer::overflow
