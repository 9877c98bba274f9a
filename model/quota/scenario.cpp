// SPDX-License-Identifier: Apache-2.0
#include "model/quota/scenario.h"

#include <algorithm>

namespace load_balancer::model {
namespace {

using quota::Budget;
using quota::Budgets;
using quota::kUnit;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Moment kSettledAt = seconds(4);  // after the first lease term, in which new voters cast no vote
constexpr std::size_t kSites = 3;

bool ReloadsBudgets(std::uint64_t seed) { return seed % 5 < 2; }
bool RestartsAllGateways(std::uint64_t seed) { return seed % 5 == 2; }

}  // namespace

QuotaScenario::QuotaScenario(std::uint64_t seed) : seed_(seed), random_(seed * 7919 + 1) {
  options_.seed = seed;
  options_.sites = kSites;
  options_.per_site = Chance(60) ? 1 : Draw<std::size_t>(2, 3);
  options_.allocators = Draw<std::size_t>(1, 2);
  // Lifetimes range from much shorter than a lease to the longest that is allowed.
  options_.timings.max_grant_lifetime =
      milliseconds(std::vector{500, 1000, 2000, 2700, 2790}[Draw<std::size_t>(0, 4)]);
  options_.timings.request_interval = options_.timings.max_grant_lifetime / Draw(4, 10);
  options_.spender.enabled = true;
  options_.spender.probe_cost = Chance(50) ? 1 : 2;
  options_.spender.credited_fraction = Chance(25) ? 0.3 : 0;
  options_.delayed_fraction = std::vector<double>{0, 0, 0.1, 0.4}[Draw<std::size_t>(0, 3)];
  options_.duplicated_fraction = std::vector<double>{0, 0.3, 0.8}[Draw<std::size_t>(0, 2)];
  options_.max_delay = options_.timings.max_grant_lifetime * Draw(1, 15) / 10;
  partners_ = {"isar"};
  if (Chance(20)) partners_.emplace_back("lech");
  rate_ = 1000 * kUnit;
  // Bursts are small, because a large burst can hide an overspend.
  burst_ = rate_ * Draw(10, 60) / 1000;
  DrawRevisions();
}

// Draws a budget without reserved minimums, or with reserved minimums that add up to at most the whole
// budget. In the second case, one site gets at least half of the sum.
Budget QuotaScenario::DrawBudget() {
  Budget budget;
  budget.rate = rate_;
  budget.burst = burst_;
  if (Chance(25)) return budget;
  MilliUnits left = budget.rate * (Chance(50) ? 10 : Draw(2, 10)) / 10;
  std::vector<std::size_t> sites{0, 1, 2};
  std::shuffle(sites.begin(), sites.end(), random_);
  for (const std::size_t site : sites) {
    const MilliUnits minimum =
        site == sites.back() ? left : Draw<MilliUnits>(site == sites.front() ? left / 2 : 0, left);
    budget.reserved_minimums[Gateways::SiteName(site)] = minimum;
    left -= minimum;
  }
  return budget;
}

void QuotaScenario::DrawRevisions() {
  const std::uint64_t count = ReloadsBudgets(seed_) ? Draw<std::uint64_t>(2, 3) : 1;
  const bool drops_partners = Chance(40);
  for (std::uint64_t revision = 1; revision <= count; ++revision) {
    auto budgets = std::make_shared<Budgets>();
    budgets->revision = revision;
    for (const std::string& partner : partners_)
      if (revision != 2 || !drops_partners) budgets->partners[partner] = DrawBudget();
    revisions_.push_back(std::move(budgets));
    if (Chance(30)) rate_ = Draw<MilliUnits>(500, 1500) * kUnit;
    if (Chance(30)) burst_ = rate_ * Draw(10, 60) / 1000;
  }
  // Some gateways may get the third revision before others have the second.
  Moment from = kSettledAt + DrawMoment(seconds(1), seconds(3));
  for (std::size_t index = 1; index < revisions_.size(); ++index) {
    auto& times = reload_times_.emplace_back();
    const Moment span = DrawMoment(milliseconds(50), seconds(8));
    for (std::size_t i = 0; i < options_.sites * options_.per_site; ++i) {
      const Moment previous = index > 1 ? reload_times_[index - 2][i] : Moment(0);
      times.push_back(std::max(from + DrawMoment(Moment(0), span), previous + milliseconds(1)));
      all_reloaded_at_ = std::max(all_reloaded_at_, times.back());
    }
    from += DrawMoment(milliseconds(200), seconds(5));
  }
}

std::vector<Fault> QuotaScenario::Faults() const {
  FaultOptions options;
  options.machines = options_.sites * options_.per_site;
  options.from = kSettledAt;
  options.to = kRunLength;
  options.max_duration = seconds(4);
  options.max_loss = 0.3;
  options.max_delay_ms = 3000;
  options.count = seed_ % 5 == 1 ? 3 : 8;
  using enum FaultKind;
  options.kinds = {kStall, kCutOneWay, kPartition, kPartition, kLoss, kDelay, kDuplicate, kReorder};
  // No process may start while others have older budgets (docs/quota.md). Scenarios that reload budgets
  // therefore have no crashes, and ScheduleEvents schedules no handovers of addresses in them.
  if (!ReloadsBudgets(seed_))
    options.kinds.insert(options.kinds.end(), {kCrash, kCrashNoDisk, kCrash, kCrash});
  std::vector<Fault> faults = DrawFaults(seed_, options);
  // Isolate one gateway after another for about a grant's lifetime, so that its grant is not renewed.
  std::mt19937_64 random(seed_);
  const auto draw = [&random](Moment low, Moment high) {
    return Moment(std::uniform_int_distribution<Moment::rep>(low.count(), high.count())(random));
  };
  const Moment lifetime = options_.timings.max_grant_lifetime;
  for (Moment at = kSettledAt; seed_ % 2 == 0 && at < kRunLength;) {
    const Moment lasts = draw(lifetime / 2, lifetime * 2);
    faults.push_back({at, lasts, kPartition, {static_cast<std::size_t>(random() % options.machines)}, 0});
    at += draw(lifetime, lifetime * 2 + seconds(1));
  }
  if (!RestartsAllGateways(seed_)) return faults;
  Fault restart{seconds(8), milliseconds(100), kCrash, {}, 0};
  for (std::size_t i = 0; i < options.machines; ++i) restart.machines.push_back(i);
  faults.push_back(std::move(restart));
  return faults;
}

// Schedules changes of a partner's demand, which moves to one, some or all gateways.
void QuotaScenario::ScheduleDemand(Gateways& gateways, const std::string& partner) {
  const Moment longest = milliseconds(Chance(50) ? 3000 : 600);
  for (Moment at{0}; at < kRunLength; at += DrawMoment(milliseconds(100), longest)) {
    std::vector<double> loads(gateways.size(), 0);
    const int percent = std::vector{0, 30, 60, 100}[Draw<std::size_t>(0, 3)];
    for (double& load : loads) load = Chance(percent) ? 1 : 0;
    loads[Draw<std::size_t>(0, loads.size() - 1)] = 1;
    gateways.world().At(at, [&gateways, partner, loads] {
      for (std::size_t i = 0; i < loads.size(); ++i) gateways.SetLoad(i, partner, loads[i]);
    });
  }
}

// Schedules periods in which the worst-case clients (Spender) save tokens. Each period lasts about as long as
// a bucket needs to fill, so that the time window that follows begins with full buckets.
void QuotaScenario::ScheduleSaving(Gateways& gateways) {
  const Moment fill_time = Moment(1'000'000 * (burst_ * 1000 / rate_));
  for (Moment at = kSettledAt; at < kRunLength; at += DrawMoment(milliseconds(100), milliseconds(1200))) {
    gateways.world().At(at, [&gateways] { gateways.SetSaving(true); });
    at += fill_time * Draw(6, 13) / 10 + milliseconds(5);
    gateways.world().At(at, [&gateways] { gateways.SetSaving(false); });
  }
}

// Schedules the reloads of the later revisions.
void QuotaScenario::ScheduleReloads(Gateways& gateways) {
  for (std::size_t index = 1; index < revisions_.size(); ++index)
    for (std::size_t i = 0; i < gateways.size(); ++i)
      gateways.world().At(reload_times_[index - 1][i],
                          [&gateways, i, budgets = revisions_[index]] { gateways.SetBudgets(i, budgets); });
}

void QuotaScenario::ScheduleEvents(Gateways& gateways) {
  for (const std::string& partner : partners_) ScheduleDemand(gateways, partner);
  ScheduleSaving(gateways);
  ScheduleReloads(gateways);
  for (int n = ReloadsBudgets(seed_) ? 0 : Draw(0, 3); n > 0; --n)
    gateways.world().At(DrawMoment(kSettledAt, kRunLength),
                        [&gateways, i = Draw<std::size_t>(0, gateways.size() - 1)] { gateways.HandOver(i); });
  for (int n = Draw(0, 3); n > 0; --n) {
    const Moment at = DrawMoment(kSettledAt, kRunLength);
    gateways.world().At(at, [&gateways] {
      if (const auto holder = gateways.Holder(0)) gateways.StepDown(*holder);
    });
  }
}

}  // namespace load_balancer::model
