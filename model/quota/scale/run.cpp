// SPDX-License-Identifier: Apache-2.0
#include "model/quota/scale/run.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "model/quota/scale/baselines.h"
#include "model/quota/scale/fairness.h"

namespace load_balancer::model::scale {
namespace {

using quota::kUnit;
using quota::MilliUnits;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Moment kStep = milliseconds(100);
constexpr Moment kShiftEvery = seconds(5), kSettles = seconds(2);

std::string PartnerName(std::size_t number) { return std::string(1, 'p').append(std::to_string(number)); }

std::shared_ptr<const quota::Budgets> BudgetsOf(const RunOptions& options) {
  auto budgets = std::make_shared<quota::Budgets>();
  budgets->revision = 1;
  for (std::size_t i = 0; i < options.partners; ++i) {
    quota::Budget& budget = budgets->partners[PartnerName(i)];
    budget.rate = std::llround(options.per_s * static_cast<double>(options.active)) * kUnit;
    budget.burst = std::llround(static_cast<double>(budget.rate) * options.burst_s);
    const auto minimum = static_cast<MilliUnits>(
        static_cast<double>(budget.rate) * options.reserved_minimums / static_cast<double>(options.sites));
    std::map<std::string, MilliUnits> minimums;
    for (std::size_t site = 0; site < options.sites; ++site) minimums[Crowd::SiteName(site)] = minimum;
    budget.reserved_minimums = minimums;
    if (quota::ReservedMinimumOf(budget, Crowd::SiteName(0), options.per_site).depth < kUnit)
      budget.reserved_minimums.clear();
  }
  return budgets;
}

// All that is kept of one partner.
struct Kept {
  Kept(const quota::Budget& budget, std::size_t gateways)
      : rate(budget.rate),
        exact(budget.rate, budget.burst),
        ideal(budget.rate, budget.burst),
        divided(budget, gateways),
        central(budget) {}

  struct Count {
    double asked = 0;
    std::array<double, kWays> got{};
  };

  MilliUnits rate;
  Window exact, ideal;
  StaticDivision divided;
  CentralCounter central;
  bool counts = true;
  std::map<std::uint32_t, Count> by_gateway;
};

class Play {
 public:
  explicit Play(const RunOptions& options)
      : options_(options),
        budgets_(BudgetsOf(options)),
        crowd_(OptionsOf(options), budgets_),
        random_(options.seed * 7919 + 1) {
    std::vector<std::uint32_t> all(crowd_.size());
    std::iota(all.begin(), all.end(), 0u);
    for (PartnerId p = 0; p < options.partners; ++p) {
      accounts_.emplace_back(budgets_->partners.at(crowd_.partner(p)), crowd_.size());
      std::vector<std::uint32_t> at;
      std::sample(all.begin(), all.end(), std::back_inserter(at), options.active, random_);
      std::shuffle(at.begin(), at.end(), random_);
      places_.push_back(std::move(at));
    }
  }

  Figures All() {
    const bool moves = options_.scenario == Scenario::kMoving || options_.scenario == Scenario::kShifts;
    if (!moves) Load(0, 1, Moment(0), options_.warm + 3 * options_.counted);
    Until(options_.warm);
    if (options_.scenario == Scenario::kDeath) {
      Begin();
      Until(options_.warm + options_.counted);
      for (const Kept& kept : accounts_) {
        if (!kept.counts) continue;
        for (const auto& [gateway, count] : kept.by_gateway) {
          figures_.spent_before += count.got[kProduct];
          figures_.ideal_before += count.got[kIdeal];
        }
      }
      Kill();
    }
    const Moment from = crowd_.world().now();
    if (options_.scenario == Scenario::kPartition) Cut(from + options_.counted / 2);
    Begin();
    Until(from + options_.counted);
    Sum();
    figures_.gateways = crowd_.gateways();
    figures_.allocators = crowd_.allocators();
    figures_.seconds = std::chrono::duration<double>(options_.counted).count();
    return figures_;
  }

 private:
  static CrowdOptions OptionsOf(const RunOptions& options) {
    CrowdOptions crowd;
    crowd.seed = options.seed;
    crowd.sites = options.sites;
    crowd.per_site = options.per_site;
    crowd.allocators = options.allocators;
    crowd.processor_s = options.processor_s;
    return crowd;
  }

  // Each partner's demand at the gateways of its part `part` of `parts`, falling from the first to the last.
  void Load(std::size_t part, std::size_t parts, Moment from, Moment until) {
    for (PartnerId p = 0; p < options_.partners; ++p) {
      const std::vector<std::uint32_t>& all = places_[p];
      std::vector<std::uint32_t> at;
      for (std::size_t i = 0; i < all.size(); ++i)
        if (i % parts == part % parts) at.push_back(all[i]);
      double weights = 0;
      for (std::size_t i = 0; i < at.size(); ++i) weights += Weight(i);
      const double demand = options_.demand[p % 2] * static_cast<double>(accounts_[p].rate) / kUnit;
      for (std::size_t i = 0; i < at.size(); ++i)
        crowd_.clients(at[i]).Add(p, demand * Weight(i) / weights, from, until, random_());
    }
    for (std::size_t gateway = 0; gateway < crowd_.size(); ++gateway) crowd_.Wake(gateway);
  }
  static double Weight(std::size_t rank) { return 1 / std::sqrt(static_cast<double>(rank + 1)); }

  void Until(Moment end) {
    while (crowd_.world().now() < end) {
      const Moment now = crowd_.world().now();
      if (options_.scenario == Scenario::kMoving && now % seconds(1) == Moment(0))
        Load(static_cast<std::size_t>(now / seconds(1)), 3, now, now + seconds(1));
      if (options_.scenario == Scenario::kShifts && now % kShiftEvery == Moment(0))
        Load(static_cast<std::size_t>(now / kShiftEvery), 3, now, now + kShiftEvery);
      std::vector<std::optional<std::size_t>> holders;
      for (std::size_t i = 0; i < options_.allocators; ++i) holders.push_back(crowd_.Holder(i));
      crowd_.world().RunUntil(now + kStep);
      const bool settling = options_.scenario == Scenario::kShifts && now % kShiftEvery < kSettles;
      const auto offered = crowd_.TakeOffered();
      for (PartnerId p = 0; p < offered.size(); ++p)
        Judge(accounts_[p], offered[p], holders[quota::AllocatorOf(crowd_.partner(p), options_.allocators)],
              counting_ && !settling);
    }
  }

  void Judge(Kept& kept, const std::vector<Offered>& offered, const std::optional<std::size_t>& holder,
             bool counting) {
    for (const Offered& one : offered) {
      const bool reached =
          holder && (*holder == one.gateway || crowd_.world().network().Connected(one.gateway, *holder));
      std::array<bool, kWays> through{};
      through[kProduct] = one.inside;
      through[kStatic] = kept.divided.Offer(one.gateway, one.at);
      through[kCentral] = kept.central.Offer(one.at, reached ? holder : std::nullopt);
      through[kIdeal] = kept.ideal.Offer({one.at, kUnit});
      if (one.inside) figures_.over = std::max(figures_.over, kept.exact.Admit({one.at, kUnit}));
      if (!counting || !kept.counts) continue;
      Kept::Count& count = kept.by_gateway[one.gateway];
      ++count.asked;
      for (std::size_t way = 0; way < kWays; ++way) {
        count.got[way] += through[way];
        figures_.refused_in_error[way] += through[kIdeal] && !through[way];
      }
      if (!reached) {
        ++figures_.unanswered;
      } else if (crowd_.SiteOf(*holder) != crowd_.SiteOf(one.gateway)) {
        const CrowdOptions& wide = crowd_.options();
        figures_.way_ms +=
            std::chrono::duration<double, std::milli>(wide.wide_least + wide.wide_most).count();
      }
    }
  }

  void Begin() {
    counting_ = true;
    for (Kept& kept : accounts_) kept.by_gateway.clear();
    figures_.refused_in_error = {};
    figures_.way_ms = figures_.unanswered = 0;
    crowd_.ClearCosts();
  }

  void Sum() {
    double weights = 0;
    for (const Kept& kept : accounts_) {
      if (!kept.counts) continue;
      figures_.budget += static_cast<double>(kept.rate) / kUnit;
      std::vector<double> demands;
      for (const auto& [gateway, count] : kept.by_gateway) demands.push_back(count.asked);
      const double asked = std::accumulate(demands.begin(), demands.end(), 0.0);
      figures_.asked += asked;
      weights += asked;
      for (std::size_t way = 0; way < kWays; ++way) {
        std::vector<double> got;
        for (const auto& [gateway, count] : kept.by_gateway) got.push_back(count.got[way]);
        figures_.spent[way] += std::accumulate(got.begin(), got.end(), 0.0);
        figures_.fairness[way] += asked * JainIndex(got, demands);
      }
    }
    for (double& fairness : figures_.fairness) fairness /= std::max(weights, 1.0);
    figures_.way_ms /= std::max(figures_.asked - figures_.unanswered, 1.0);
  }

  // The holder of the first partner's duty; only the partners of its duties count from now on.
  void Kill() {
    const auto dead = crowd_.Holder(quota::AllocatorOf(crowd_.partner(0), options_.allocators));
    if (!dead) return;
    for (PartnerId p = 0; p < options_.partners; ++p)
      accounts_[p].counts = crowd_.Holder(quota::AllocatorOf(crowd_.partner(p), options_.allocators)) == dead;
    crowd_.Crash(*dead);
  }

  void Cut(Moment until) {
    Network::Machines others, last;
    for (std::size_t i = 0; i < crowd_.size(); ++i)
      (crowd_.SiteOf(i) >= options_.sites - options_.sites / 3 ? last : others).push_back(i);
    const Network::Id cut = crowd_.world().network().Partition({others, last});
    crowd_.world().At(until, [this, cut] { crowd_.world().network().End(cut); });
  }

  const RunOptions options_;
  const std::shared_ptr<const quota::Budgets> budgets_;
  Crowd crowd_;
  std::mt19937_64 random_;
  std::vector<Kept> accounts_;
  std::vector<std::vector<std::uint32_t>> places_;  // of each partner
  Figures figures_;
  bool counting_ = false;
};

}  // namespace

Figures Run(const RunOptions& options) { return Play(options).All(); }

}  // namespace load_balancer::model::scale
