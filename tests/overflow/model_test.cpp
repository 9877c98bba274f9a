// SPDX-License-Identifier: Apache-2.0
//
// No harm and faults, on the model.
#include <gtest/gtest.h>

#include <functional>

#include "model/overflow/federation.h"

namespace load_balancer::model {
namespace {

using std::chrono::seconds;

constexpr seconds kBefore{20}, kEnd{60}, kDrain{5};

// Site 0 at 150 %, the others at `others`; `faults` are set going before the run.
struct Outcome {
  std::vector<Tally> sites;
  Tally sum;
};
Outcome Play(SpillFederationOptions options, double others,
             const std::function<void(SpillFederation&)>& faults = {}) {
  options.cores = 8;
  SpillFederation federation(options);
  for (std::size_t s = 0; s < options.sites; ++s) federation.SetLoad(s, others);
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
  EXPECT_EQ(outcome.sum.asked, outcome.sum.answered + outcome.sum.given_up) << "each has one final answer";
  return outcome;
}

SpillFederationOptions With(Strategy strategy, std::size_t sites) {
  SpillFederationOptions options;
  options.sites = sites;
  options.strategy = strategy;
  return options;
}

// Served worth of those to whom it is spilled falls by under 1 %, in all and at each.
void ExpectNoHarm(const Outcome& off, const Outcome& on) {
  for (std::size_t s = 1; s < off.sites.size(); ++s)
    EXPECT_GT(on.sites[s].own, 0.99 * off.sites[s].own) << "site " << s;
}

TEST(SpillModel, ServesMoreAndHarmsNoNeighbour) {
  for (const double others : {0.3, 0.6, 0.85}) {
    const Outcome off = Play(With(Strategy::kOff, 3), others),
                  on = Play(With(Strategy::kEstimates, 3), others);
    ExpectNoHarm(off, on);
    EXPECT_GT(on.sum.served(), off.sum.served()) << others;
    EXPECT_EQ(off.sum.spilled, 0u);
  }
}

TEST(SpillModel, SitesThatAreAllOverSendEachOtherNothing) {
  const Outcome off = Play(With(Strategy::kOff, 3), 1.3), on = Play(With(Strategy::kEstimates, 3), 1.3);
  EXPECT_EQ(on.sum.spilled, 0u);
  EXPECT_DOUBLE_EQ(on.sum.served(), off.sum.served());
}

TEST(SpillModel, FaultsCostNoAnswerAndHarmNobody) {
  struct Case {
    const char* name;
    double least_gain;  // of what spill gains without the fault
    std::function<void(SpillFederation&)> faults;
    std::chrono::milliseconds late{0};
  };
  const auto cut = [](std::size_t from, std::size_t to) {
    return [from, to](SpillFederation& f) {
      f.world().At(seconds(30),
                   [&f, from, to] { f.world().network().Cut(f.Machines(from), f.Machines(to)); });
    };
  };
  const Case kTable[] = {
      {"estimates 5 s late", -0.01, {}, std::chrono::seconds(5)},
      {"cut to the neighbour", 0.3, cut(0, 1)},
      {"cut from the neighbour", 0.3, cut(1, 0)},
      {"the ambassador of the site that spills dies", 0.6,
       [](SpillFederation& f) {
         f.world().At(seconds(30), [&f] { f.Vacate(0); });
         f.world().At(seconds(34), [&f] { f.Appoint(0, 1); });
       }},
      {"the neighbour's ambassador dies and nobody follows", 0.3,
       [](SpillFederation& f) { f.world().At(seconds(30), [&f] { f.Vacate(1); }); }},
      {"the neighbour is overloaded in turn", 0.2,
       [](SpillFederation& f) { f.world().At(seconds(30), [&f] { f.SetLoad(1, 1.5); }); }},
  };
  const Outcome off = Play(With(Strategy::kOff, 3), 0.6), on = Play(With(Strategy::kEstimates, 3), 0.6);
  const double gain = on.sum.served() - off.sum.served();
  for (const Case& each : kTable) {
    SCOPED_TRACE(each.name);
    SpillFederationOptions options = With(Strategy::kEstimates, 3);
    options.estimate_delay = each.late;
    const Outcome faulty = Play(options, 0.6, each.faults);
    const Outcome without = Play(With(Strategy::kOff, 3), 0.6, each.faults);
    ExpectNoHarm(without, faulty);
    EXPECT_GE(faulty.sum.served() - without.sum.served(), each.least_gain * gain);
  }
}

}  // namespace
}  // namespace load_balancer::model
