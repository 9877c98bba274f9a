// SPDX-License-Identifier: Apache-2.0
//
// No harm: whatever the sites do, in any order and over a network that loses and delays, all gateways
// together send a neighbour no more than its offer and the stated slack.
#include <gtest/gtest.h>

#include <memory>
#include <queue>

#include "fixture.h"
#include "overflow/estimate_publisher.h"

namespace load_balancer::overflow {
namespace {

constexpr Milliseconds kStep{50};
constexpr double kMostWork = 8;

struct Lease {
  bool IsValid(Time) const { return true; }
  std::uint64_t token() const { return 1; }
};

// Site a has `spare`; the others go over capacity and back at random moments, and just then many a gateway
// elsewhere hears nothing more of that site for a while. Each message between two sites
// is lost or late at random; wall clocks differ by up to the skew.
struct Herd {
  Herd(int sites, int gateways, unsigned seed) : random(seed), directory(Sites(sites, gateways)) {
    for (const auto& [site, members] : directory) {
      ambassadors.try_emplace(site, options, site);
      skew[site] = Below(static_cast<int>(options.most_skew.count()));
      for (std::size_t i = 0; i < members.size(); ++i)
        spills.push_back({site, std::make_unique<Spill>(options, directory, site, random(), kStart)});
    }
  }

  int Below(int bound) { return static_cast<int>(random() % static_cast<unsigned>(bound)); }
  UnixMs Wall(const std::string& site) const {
    return kWall + static_cast<UnixMs>(passed.count() + skew.at(site));
  }

  void Estimate(double spare) {
    for (auto& [site, ambassador] : ambassadors) {
      const bool turns = site != "a" && Below(20) == 0;
      if (turns) over[site] = !over[site];
      const double mean = site == "a" ? spare : (over[site] ? 0 : 500);
      ambassador.Heard(now(), "1", {mean, mean, Milliseconds(0)});
      const auto made = ambassador.Make(now(), Wall(site), Lease{});
      for (std::size_t to = 0; to < spills.size(); ++to) {
        Milliseconds& deaf = deaf_until[{to, site}];
        if (turns ? Below(2) == 0 : Below(60) == 0) deaf = passed + Milliseconds(Below(6000));
        if (passed < deaf || Below(100) < 20) continue;
        const int late = Below(10) == 0 ? Below(6000) : Below(300);
        under_way.push({passed + Milliseconds(late), {to, *made}});
      }
    }
  }

  void Step(double spare) {
    passed += kStep;
    if (passed.count() % 500 == 0) Estimate(spare);
    std::vector<Action> actions;
    for (; !under_way.empty() && under_way.top().first <= passed; under_way.pop()) {
      const auto& [to, estimate] = under_way.top().second;
      auto& [site, spill] = spills[to];
      spill->Handle(now(), EstimateHeard{estimate, Wall(site)}, &actions);
    }
    for (auto& [site, spill] : spills) {
      for (int i = 0; i < 20; ++i) {
        Refused request = Safe(++last_id);
        request.work_ms = 1 + Below(static_cast<int>(kMostWork));
        actions.clear();
        spill->Handle(now(), request, &actions);
        for (const Action& action : actions)
          if (const auto* sent = std::get_if<SendTo>(&action); sent && sent->neighbour.site == "a")
            to_a.emplace_back(passed.count(), request.work_ms);
        spill->Handle(now(), ClientGone{request.request}, &actions);
      }
    }
  }

  Time now() const { return kStart + passed; }

  using Late = std::pair<Milliseconds, std::pair<std::size_t, overflow::Estimate>>;
  struct Later {
    bool operator()(const Late& a, const Late& b) const { return a.first > b.first; }
  };
  Options options;
  std::mt19937_64 random;
  Directory directory;
  Milliseconds passed{0};
  std::map<std::string, Ambassador> ambassadors;
  std::map<std::string, int> skew;
  std::map<std::string, bool> over;
  std::map<std::pair<std::size_t, std::string>, Milliseconds> deaf_until;  // gateway, to a site
  std::vector<std::pair<std::string, std::unique_ptr<Spill>>> spills;
  std::priority_queue<Late, std::vector<Late>, Later> under_way;
  RequestId last_id = 0;
  std::vector<std::pair<std::int64_t, double>> to_a;  // ms, work
};

// The most that any window had over its rate: the largest sum of a run (Kadane's algorithm).
double MostOver(const Herd& herd, double rate) {
  double over = 0, most = 0;
  std::int64_t last = 0;
  for (const auto& [at, work] : herd.to_a) {
    over = std::max(0.0, over - rate * static_cast<double>(at - last) / 1000) + work;
    most = std::max(most, over);
    last = at;
  }
  return most;
}

TEST(Herd, NeverSendsMoreThanTheOfferAndItsSlack) {
  int spilled = 0;
  for (unsigned seed = 1; seed <= 40; ++seed) {
    const int sites = 2 + static_cast<int>(seed) % 4, gateways = 1 + static_cast<int>(seed) % 2;
    const double spare = 200 + 70 * seed;
    Herd herd(sites, gateways, seed);
    while (herd.passed < Milliseconds(60000)) herd.Step(spare);
    const double rate = spare * herd.options.most_part;
    const double slack =
        rate * std::chrono::duration<double>(herd.options.slack).count() + (sites - 1) * gateways * kMostWork;
    EXPECT_LE(MostOver(herd, rate), slack + 1e-3) << "seed " << seed;
    spilled += !herd.to_a.empty();
  }
  EXPECT_GT(spilled, 20);
}

TEST(Herd, UsesWhatIsOffered) {
  Herd herd(2, 1, 5);
  herd.over["b"] = true;
  while (herd.passed < Milliseconds(60000)) herd.Step(2000);
  double sum = 0;
  for (const auto& [at, work] : herd.to_a) sum += work;
  EXPECT_GT(sum, 0.2 * 1000 * 60);
}

}  // namespace
}  // namespace load_balancer::overflow
