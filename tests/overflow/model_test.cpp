// SPDX-License-Identifier: Apache-2.0
//
// Checks on the model that forwarded requests do not harm the sites that receive them, also during faults.
#include <gtest/gtest.h>

#include <functional>

#include "model/overflow/federation.h"

namespace load_balancer::model {
namespace {

using std::chrono::seconds;

constexpr seconds kBefore{20}, kEnd{60}, kDrain{5};

// Outcome holds the counts of requests in one run of the model.
struct Outcome {
  std::vector<Tally> sites;
  Tally sum;
};
// Runs the model with site 0 at 150 % load and the others at `other_load`. `faults` schedules faults before
// the run.
Outcome RunModel(OverflowFederationOptions options, double other_load,
                 const std::function<void(OverflowFederation&)>& faults = {}) {
  options.cores = 8;
  OverflowFederation federation(options);
  for (std::size_t s = 0; s < options.sites; ++s) federation.SetLoad(s, other_load);
  if (faults) faults(federation);
  federation.world().RunUntil(kBefore);
  federation.StartCount();
  federation.SetLoad(0, 1.5);
  federation.world().RunUntil(kEnd);
  for (std::size_t s = 0; s < options.sites; ++s) federation.SetLoad(s, 0);
  federation.world().RunUntil(kEnd + kDrain);
  Outcome outcome{{}, federation.Sum()};
  for (std::size_t s = 0; s < options.sites; ++s) outcome.sites.push_back(federation.tally(s));
  EXPECT_EQ(federation.ran_twice(), 0u);
  EXPECT_EQ(federation.answered_twice(), 0u);
  EXPECT_EQ(outcome.sum.received, outcome.sum.answered + outcome.sum.given_up)
      << "each request has one final response";
  return outcome;
}

OverflowFederationOptions MakeOptions(Strategy strategy, std::size_t sites) {
  OverflowFederationOptions options;
  options.sites = sites;
  options.strategy = strategy;
  return options;
}

// Expects that at each receiving site, the priority weight of the own requests that it serves falls by less
// than 1 %.
void ExpectNoHarm(const Outcome& off, const Outcome& on) {
  for (std::size_t s = 1; s < off.sites.size(); ++s)
    EXPECT_GT(on.sites[s].own, 0.99 * off.sites[s].own) << "site " << s;
}

TEST(OverflowModel, ServesMoreAndHarmsNoOtherSite) {
  for (const double other_load : {0.3, 0.6, 0.85}) {
    const Outcome off = RunModel(MakeOptions(Strategy::kOff, 3), other_load),
                  on = RunModel(MakeOptions(Strategy::kEstimates, 3), other_load);
    ExpectNoHarm(off, on);
    EXPECT_GT(on.sum.served(), off.sum.served()) << other_load;
    EXPECT_EQ(off.sum.forwarded, 0u);
  }
}

TEST(OverflowModel, SitesThatAreAllOverCapacityForwardNothing) {
  const Outcome off = RunModel(MakeOptions(Strategy::kOff, 3), 1.3),
                on = RunModel(MakeOptions(Strategy::kEstimates, 3), 1.3);
  EXPECT_EQ(on.sum.forwarded, 0u);
  EXPECT_DOUBLE_EQ(on.sum.served(), off.sum.served());
}

TEST(OverflowModel, FaultsLoseNoResponseAndHarmNoOtherSite) {
  struct Case {
    const char* name;
    double min_gain;  // as a fraction of the gain without the fault
    std::function<void(OverflowFederation&)> faults;
    std::chrono::milliseconds estimate_delay{0};
  };
  const auto cut = [](std::size_t from, std::size_t to) {
    return [from, to](OverflowFederation& f) {
      f.world().At(seconds(30),
                   [&f, from, to] { f.world().network().Cut(f.Machines(from), f.Machines(to)); });
    };
  };
  const Case kTable[] = {
      {"estimates 5 s late", -0.01, {}, std::chrono::seconds(5)},
      {"the network to another site is cut", 0.3, cut(0, 1)},
      {"the network from another site is cut", 0.3, cut(1, 0)},
      {"the publisher of the overloaded site dies", 0.6,
       [](OverflowFederation& f) {
         f.world().At(seconds(30), [&f] { f.Vacate(0); });
         f.world().At(seconds(34), [&f] { f.Appoint(0, 1); });
       }},
      {"the publisher of another site dies and has no successor", 0.3,
       [](OverflowFederation& f) { f.world().At(seconds(30), [&f] { f.Vacate(1); }); }},
      {"another site becomes overloaded as well", 0.2,
       [](OverflowFederation& f) { f.world().At(seconds(30), [&f] { f.SetLoad(1, 1.5); }); }},
  };
  const Outcome off = RunModel(MakeOptions(Strategy::kOff, 3), 0.6),
                on = RunModel(MakeOptions(Strategy::kEstimates, 3), 0.6);
  const double gain = on.sum.served() - off.sum.served();
  for (const Case& each : kTable) {
    SCOPED_TRACE(each.name);
    OverflowFederationOptions options = MakeOptions(Strategy::kEstimates, 3);
    options.estimate_delay = each.estimate_delay;
    const Outcome faulty = RunModel(options, 0.6, each.faults);
    const Outcome without = RunModel(MakeOptions(Strategy::kOff, 3), 0.6, each.faults);
    ExpectNoHarm(without, faulty);
    EXPECT_GE(faulty.sum.served() - without.sum.served(), each.min_gain * gain);
  }
}

}  // namespace
}  // namespace load_balancer::model
