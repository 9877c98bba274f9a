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

constexpr Moment kSettled = seconds(4);  // voters that are new keep silent for a term
constexpr std::size_t kSites = 3;

bool Reloads(std::uint64_t seed) { return seed % 5 < 2; }
bool RestartsAll(std::uint64_t seed) { return seed % 5 == 2; }

}  // namespace

Scenario::Scenario(std::uint64_t seed) : seed_(seed), random_(seed * 7919 + 1) {
  options_.seed = seed;
  options_.sites = kSites;
  options_.per_site = Chance(60) ? 1 : Draw<std::size_t>(2, 3);
  options_.allocators = Draw<std::size_t>(1, 2);
  // From grants much shorter than the leases to grants as long as they may be.
  options_.timings.max_grant_lifetime =
      milliseconds(std::vector{500, 1000, 2000, 2700, 2790}[Draw<std::size_t>(0, 4)]);
  options_.timings.request_interval = options_.timings.max_grant_lifetime / Draw(4, 10);
  options_.greed.on = true;
  options_.greed.probe = Chance(50) ? 1 : 2;
  options_.greed.credited = Chance(25) ? 0.3 : 0;
  options_.late = std::vector<double>{0, 0, 0.1, 0.4}[Draw<std::size_t>(0, 3)];
  options_.again = std::vector<double>{0, 0.3, 0.8}[Draw<std::size_t>(0, 2)];
  options_.latest = options_.timings.max_grant_lifetime * Draw(1, 15) / 10;
  partners_ = {"isar"};
  if (Chance(20)) partners_.emplace_back("lech");
  rate_ = 1000 * kUnit;
  // The smaller the burst, the less of an overspend hides in it.
  burst_ = rate_ * Draw(10, 60) / 1000;
  DrawFiles();
}

// Reserved minimums are none, or up to all of the budget, with most of it anywhere.
Budget Scenario::DrawBudget() {
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

void Scenario::DrawFiles() {
  const std::uint64_t count = Reloads(seed_) ? Draw<std::uint64_t>(2, 3) : 1;
  const bool drops = Chance(40);
  for (std::uint64_t revision = 1; revision <= count; ++revision) {
    auto budgets = std::make_shared<Budgets>();
    budgets->revision = revision;
    for (const std::string& partner : partners_)
      if (revision != 2 || !drops) budgets->partners[partner] = DrawBudget();
    files_.push_back(std::move(budgets));
    if (Chance(30)) rate_ = Draw<MilliUnits>(500, 1500) * kUnit;
    if (Chance(30)) burst_ = rate_ * Draw(10, 60) / 1000;
  }
  // The third file may come before all have the second.
  Moment from = kSettled + DrawMoment(seconds(1), seconds(3));
  for (std::size_t file = 1; file < files_.size(); ++file) {
    auto& at = reloads_.emplace_back();
    const Moment span = DrawMoment(milliseconds(50), seconds(8));
    for (std::size_t i = 0; i < options_.sites * options_.per_site; ++i) {
      const Moment least = file > 1 ? reloads_[file - 2][i] : Moment(0);
      at.push_back(std::max(from + DrawMoment(Moment(0), span), least + milliseconds(1)));
      reloaded_ = std::max(reloaded_, at.back());
    }
    from += DrawMoment(milliseconds(200), seconds(5));
  }
}

std::vector<Fault> Scenario::Faults() const {
  FaultOptions options;
  options.machines = options_.sites * options_.per_site;
  options.from = kSettled;
  options.to = kRun;
  options.max_duration = seconds(4);
  options.max_loss = 0.3;
  options.max_delay_ms = 3000;
  options.count = seed_ % 5 == 1 ? 3 : 8;
  using enum FaultKind;
  options.kinds = {kStall, kCutOneWay, kPartition, kPartition, kLoss, kDelay, kDuplicate, kReorder};
  // A process that starts while others have older files is against the rules of docs/quota.md, here and in
  // Arrange.
  if (!Reloads(seed_)) options.kinds.insert(options.kinds.end(), {kCrash, kCrashNoDisk, kCrash, kCrash});
  std::vector<Fault> faults = DrawFaults(seed_, options);
  // One gateway after the other is alone for about a grant's lifetime: what it has is not renewed.
  std::mt19937_64 random(seed_);
  const auto draw = [&random](Moment low, Moment high) {
    return Moment(std::uniform_int_distribution<Moment::rep>(low.count(), high.count())(random));
  };
  const Moment lifetime = options_.timings.max_grant_lifetime;
  for (Moment at = kSettled; seed_ % 2 == 0 && at < kRun;) {
    const Moment lasts = draw(lifetime / 2, lifetime * 2);
    faults.push_back({at, lasts, kPartition, {static_cast<std::size_t>(random() % options.machines)}, 0});
    at += draw(lifetime, lifetime * 2 + seconds(1));
  }
  if (!RestartsAll(seed_)) return faults;
  Fault all{seconds(8), milliseconds(100), kCrash, {}, 0};
  for (std::size_t i = 0; i < options.machines; ++i) all.machines.push_back(i);
  faults.push_back(std::move(all));
  return faults;
}

// To one gateway, to some, to all.
void Scenario::MoveDemand(Gateways& gateways, const std::string& partner) {
  const Moment longest = milliseconds(Chance(50) ? 3000 : 600);
  for (Moment at{0}; at < kRun; at += DrawMoment(milliseconds(100), longest)) {
    std::vector<double> loads(gateways.size(), 0);
    const int share = std::vector{0, 30, 60, 100}[Draw<std::size_t>(0, 3)];
    for (double& load : loads) load = Chance(share) ? 1 : 0;
    loads[Draw<std::size_t>(0, loads.size() - 1)] = 1;
    gateways.world().At(at, [&gateways, partner, loads] {
      for (std::size_t i = 0; i < loads.size(); ++i) gateways.SetLoad(i, partner, loads[i]);
    });
  }
}

// For about as long as it takes to fill a bucket, so that a window begins with all that there can be.
void Scenario::Save(Gateways& gateways) {
  const Moment full = Moment(1'000'000 * (burst_ * 1000 / rate_));
  for (Moment at = kSettled; at < kRun; at += DrawMoment(milliseconds(100), milliseconds(1200))) {
    gateways.world().At(at, [&gateways] { gateways.Save(true); });
    at += full * Draw(6, 13) / 10 + milliseconds(5);
    gateways.world().At(at, [&gateways] { gateways.Save(false); });
  }
}

void Scenario::Reload(Gateways& gateways) {
  for (std::size_t file = 1; file < files_.size(); ++file)
    for (std::size_t i = 0; i < gateways.size(); ++i)
      gateways.world().At(reloads_[file - 1][i],
                          [&gateways, i, budgets = files_[file]] { gateways.SetBudgets(i, budgets); });
}

void Scenario::Arrange(Gateways& gateways) {
  for (const std::string& partner : partners_) MoveDemand(gateways, partner);
  Save(gateways);
  Reload(gateways);
  for (int n = Reloads(seed_) ? 0 : Draw(0, 3); n > 0; --n)
    gateways.world().At(DrawMoment(kSettled, kRun),
                        [&gateways, i = Draw<std::size_t>(0, gateways.size() - 1)] { gateways.HandOver(i); });
  for (int n = Draw(0, 3); n > 0; --n) {
    const Moment at = DrawMoment(kSettled, kRun);
    gateways.world().At(at, [&gateways] {
      if (const auto holder = gateways.Holder(0)) gateways.StepDown(*holder);
    });
  }
}

}  // namespace load_balancer::model
