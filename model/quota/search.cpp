// SPDX-License-Identifier: Apache-2.0
#include "model/quota/search.h"

#include <algorithm>
#include <sstream>

#include "model/quota/gateways.h"

namespace brackenspoke::model {
namespace {

using quota::Budget;
using quota::Budgets;
using quota::kOne;
using quota::Milli;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Moment kRun = seconds(20);
constexpr Moment kReload = seconds(6), kReloads = seconds(2);  // from when, and over how long
constexpr std::size_t kSites = 3, kPerSite = 3;

bool Reloads(std::uint64_t seed) { return seed % 4 == 0; }
bool RestartsAll(std::uint64_t seed) { return seed % 4 == 2; }

class Scenario {
 public:
  explicit Scenario(std::uint64_t seed) : random_(seed * 7919 + 1) {}

  Milli Draw(Milli low, Milli high) { return std::uniform_int_distribution<Milli>(low, high)(random_); }
  Moment DrawMoment(Moment low, Moment high) { return Moment(Draw(low.count(), high.count())); }

  std::shared_ptr<const Budgets> DrawBudgets(std::uint64_t revision) {
    auto budgets = std::make_shared<Budgets>();
    budgets->revision = revision;
    for (const char* partner : {"isar", "lech", "work"}) {
      Budget& budget = budgets->partners[partner];
      budget.rate = Draw(100, 400) * kOne;
      budget.burst = budget.rate * Draw(2, 20) / 10;
      if (*partner == 'l') continue;
      // Up to all of the budget, with most of it anywhere.
      Milli left = budget.rate * Draw(2, 10) / 10;
      for (std::size_t site = 0; site < kSites; ++site) {
        const Milli floor = site + 1 == kSites ? left : Draw(0, left);
        budget.floors[Gateways::SiteName(site)] = floor;
        left -= floor;
      }
      if (Draw(0, 1) == 1) std::swap(budget.floors["s0"], budget.floors["s2"]);
    }
    return budgets;
  }

  // Each partner's traffic sits at one to three gateways at a time and moves.
  void MoveLoads(Gateways& gateways, const Budgets& budgets) {
    for (const auto& [partner, budget] : budgets.partners)
      for (Moment at{0}; at < kRun; at += DrawMoment(milliseconds(300), seconds(3))) {
        std::vector<double> loads(gateways.size(), 0);
        for (Milli n = Draw(1, 3); n > 0; --n)
          loads[static_cast<std::size_t>(Draw(0, static_cast<Milli>(gateways.size()) - 1))] =
              static_cast<double>(budget.rate) / kOne * static_cast<double>(Draw(1, 20)) / 10;
        gateways.world().At(at, [&gateways, partner = partner, loads] {
          for (std::size_t i = 0; i < loads.size(); ++i) gateways.SetLoad(i, partner, loads[i]);
        });
      }
  }

 private:
  std::mt19937_64 random_;
};

std::optional<QuotaFinding> Check(std::uint64_t seed, const std::string& partner,
                                  const std::vector<Admission>& admitted, Milli rate, Milli burst) {
  const auto over = FindOverspend(admitted, rate, burst);
  if (!over) return std::nullopt;
  std::ostringstream text;
  text << partner << " overspent by " << over->over << " from "
       << static_cast<double>(over->from.count()) / 1e6 << " ms to "
       << static_cast<double>(over->to.count()) / 1e6 << " ms of seed " << seed;
  return QuotaFinding{seed, partner, over->over, text.str()};
}

}  // namespace

std::vector<Fault> QuotaFaults(std::uint64_t seed) {
  FaultOptions options;
  options.machines = kSites * kPerSite;
  options.from = seconds(1);
  options.to = kRun;
  options.count = 8;
  using enum FaultKind;
  options.kinds = {kStall, kCutOneWay, kPartition, kLoss, kDelay, kDuplicate, kReorder};
  if (!Reloads(seed)) options.kinds.insert(options.kinds.end(), {kCrash, kCrashNoDisk, kCrash});
  std::vector<Fault> faults = DrawFaults(seed, options);
  if (!RestartsAll(seed)) return faults;
  Fault all{seconds(8), milliseconds(100), kCrash, {}, 0};
  for (std::size_t i = 0; i < options.machines; ++i) all.who.push_back(i);
  faults.push_back(std::move(all));
  return faults;
}

std::optional<QuotaFinding> PlayQuota(std::uint64_t seed, const std::vector<Fault>& faults) {
  Scenario scenario(seed);
  const auto before = scenario.DrawBudgets(1), after = scenario.DrawBudgets(2);
  GatewaysOptions options;
  options.seed = seed;
  options.credited = seed % 3 == 0 ? 0.2 : 0;
  options.late = seed % 5 == 0 ? 0.05 : 0;
  options.cost = seed % 7 == 0 ? 4 : 1;
  Gateways gateways(options, before);
  World& world = gateways.world();
  scenario.MoveLoads(gateways, *before);
  for (const Fault& fault : faults) Inject(world, fault);
  Moment reloaded{0};
  for (std::size_t i = 0; Reloads(seed) && i < gateways.size(); ++i) {
    const Moment at = kReload + scenario.DrawMoment(Moment(0), kReloads);
    reloaded = std::max(reloaded, at);
    world.At(at, [&gateways, i, after] { gateways.SetBudgets(i, after); });
  }
  world.RunUntil(kRun);
  for (const auto& [partner, tally] : gateways.tallies()) {
    const Budget& budget = before->partners.at(partner);
    if (reloaded == Moment(0)) {
      if (auto found = Check(seed, partner, tally.admitted, budget.rate, budget.burst)) return found;
      continue;
    }
    const Budget& next = after->partners.at(partner);
    if (auto found = Check(seed, partner, tally.admitted, std::max(budget.rate, next.rate),
                           std::max(budget.burst, next.burst)))
      return found;
    std::vector<Admission> later;
    const Moment held = reloaded + options.timings.draw + options.timings.drift;
    for (const Admission& admission : tally.admitted)
      if (admission.at >= held) later.push_back(admission);
    if (auto found = Check(seed, partner, later, next.rate, next.burst)) return found;
  }
  return std::nullopt;
}

}  // namespace brackenspoke::model
