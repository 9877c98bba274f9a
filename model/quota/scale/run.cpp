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
constexpr Moment kShiftInterval = seconds(5);
constexpr Moment kSettlingTime = seconds(2);  // time after each shift that is not measured

std::string PartnerName(std::size_t number) { return std::string(1, 'p').append(std::to_string(number)); }

std::shared_ptr<const quota::Budgets> BudgetsOf(const RunOptions& options) {
  auto budgets = std::make_shared<quota::Budgets>();
  budgets->revision = 1;
  for (std::size_t i = 0; i < options.partners; ++i) {
    quota::Budget& budget = budgets->partners[PartnerName(i)];
    budget.rate =
        std::llround(options.rate_per_gateway * static_cast<double>(options.gateways_per_partner)) * kUnit;
    budget.burst = std::llround(static_cast<double>(budget.rate) * options.burst_s);
    const auto minimum = static_cast<MilliUnits>(
        static_cast<double>(budget.rate) * options.reserved_minimums / static_cast<double>(options.sites));
    std::map<std::string, MilliUnits> minimums;
    for (std::size_t site = 0; site < options.sites; ++site)
      minimums[GatewayCluster::SiteName(site)] = minimum;
    budget.reserved_minimums = minimums;
    if (quota::ReservedMinimumOf(budget, GatewayCluster::SiteName(0), options.per_site).depth < kUnit)
      budget.reserved_minimums.clear();
  }
  return budgets;
}

// The limiters and counts of one partner.
struct PartnerRecord {
  PartnerRecord(const quota::Budget& budget, std::size_t gateways)
      : rate(budget.rate),
        exact(budget.rate, budget.burst),
        ideal(budget.rate, budget.burst),
        divided(budget, gateways),
        central(budget) {}

  struct Count {
    double requests = 0;
    std::array<double, kLimiterCount> admitted{};
  };

  MilliUnits rate;
  ExactTokenBucket exact;  // charged with each request that the product admits, to find an excess
  ExactTokenBucket ideal;
  StaticDivision divided;
  CentralCounter central;
  bool is_measured = true;
  std::map<std::uint32_t, Count> by_gateway;
};

// Runs one scenario and collects its measurements.
class Runner {
 public:
  explicit Runner(const RunOptions& options)
      : options_(options),
        budgets_(BudgetsOf(options)),
        cluster_(OptionsOf(options), budgets_),
        random_(options.seed * 7919 + 1) {
    std::vector<std::uint32_t> all(cluster_.size());
    std::iota(all.begin(), all.end(), 0u);
    for (PartnerId p = 0; p < options.partners; ++p) {
      records_.emplace_back(budgets_->partners.at(cluster_.partner(p)), cluster_.size());
      std::vector<std::uint32_t> gateways;
      std::sample(all.begin(), all.end(), std::back_inserter(gateways), options.gateways_per_partner,
                  random_);
      std::shuffle(gateways.begin(), gateways.end(), random_);
      gateways_of_.push_back(std::move(gateways));
    }
  }

  RunResult Run() {
    const bool moves = options_.scenario == Scenario::kMoving || options_.scenario == Scenario::kShifts;
    if (!moves) AddLoad(0, 1, Moment(0), options_.warmup + 3 * options_.measured);
    RunUntil(options_.warmup);
    if (options_.scenario == Scenario::kHolderCrash) {
      StartMeasuring();
      RunUntil(options_.warmup + options_.measured);
      for (const PartnerRecord& record : records_) {
        if (!record.is_measured) continue;
        for (const auto& [gateway, count] : record.by_gateway) {
          result_.admitted_before += count.admitted[kProduct];
          result_.ideal_before += count.admitted[kIdeal];
        }
      }
      CrashHolder();
    }
    const Moment from = cluster_.world().now();
    if (options_.scenario == Scenario::kPartition) PartitionSites(from + options_.measured / 2);
    StartMeasuring();
    RunUntil(from + options_.measured);
    Summarize();
    result_.gateways = cluster_.gateways();
    result_.allocators = cluster_.allocators();
    result_.seconds = std::chrono::duration<double>(options_.measured).count();
    return result_;
  }

 private:
  static GatewayClusterOptions OptionsOf(const RunOptions& options) {
    GatewayClusterOptions cluster;
    cluster.seed = options.seed;
    cluster.sites = options.sites;
    cluster.per_site = options.per_site;
    cluster.allocators = options.allocators;
    cluster.cpu_seconds = options.cpu_seconds;
    return cluster;
  }

  // Divides each partner's gateways into `parts`, and puts the partner's demand on the gateways of one part.
  // The demand decreases from the first gateway of the part to the last.
  void AddLoad(std::size_t part, std::size_t parts, Moment from, Moment until) {
    for (PartnerId p = 0; p < options_.partners; ++p) {
      const std::vector<std::uint32_t>& all = gateways_of_[p];
      std::vector<std::uint32_t> selected;
      for (std::size_t i = 0; i < all.size(); ++i)
        if (i % parts == part % parts) selected.push_back(all[i]);
      double weights = 0;
      for (std::size_t i = 0; i < selected.size(); ++i) weights += Weight(i);
      const double demand = options_.demand[p % 2] * static_cast<double>(records_[p].rate) / kUnit;
      for (std::size_t i = 0; i < selected.size(); ++i)
        cluster_.clients(selected[i]).Add(p, demand * Weight(i) / weights, from, until, random_());
    }
    for (std::size_t gateway = 0; gateway < cluster_.size(); ++gateway) cluster_.Wake(gateway);
  }
  static double Weight(std::size_t rank) { return 1 / std::sqrt(static_cast<double>(rank + 1)); }

  void RunUntil(Moment end) {
    while (cluster_.world().now() < end) {
      const Moment now = cluster_.world().now();
      if (options_.scenario == Scenario::kMoving && now % seconds(1) == Moment(0))
        AddLoad(static_cast<std::size_t>(now / seconds(1)), 3, now, now + seconds(1));
      if (options_.scenario == Scenario::kShifts && now % kShiftInterval == Moment(0))
        AddLoad(static_cast<std::size_t>(now / kShiftInterval), 3, now, now + kShiftInterval);
      std::vector<std::optional<std::size_t>> holders;
      for (std::size_t i = 0; i < options_.allocators; ++i) holders.push_back(cluster_.Holder(i));
      cluster_.world().RunUntil(now + kStep);
      const bool is_settling = options_.scenario == Scenario::kShifts && now % kShiftInterval < kSettlingTime;
      const auto requests = cluster_.TakeRequests();
      for (PartnerId p = 0; p < requests.size(); ++p)
        Evaluate(records_[p], requests[p],
                 holders[quota::AllocatorOf(cluster_.partner(p), options_.allocators)],
                 is_measuring_ && !is_settling);
    }
  }

  // Applies all limiters to the requests of a partner. Counts the results if `measure` is true.
  void Evaluate(PartnerRecord& record, const std::vector<ChargedRequest>& requests,
                const std::optional<std::size_t>& holder, bool measure) {
    for (const ChargedRequest& request : requests) {
      const bool is_reachable = holder && (*holder == request.gateway ||
                                           cluster_.world().network().Connected(request.gateway, *holder));
      std::array<bool, kLimiterCount> admitted{};
      admitted[kProduct] = request.admitted;
      admitted[kStatic] = record.divided.TryCharge(request.gateway, request.at);
      admitted[kCentral] = record.central.TryCharge(request.at, is_reachable ? holder : std::nullopt);
      admitted[kIdeal] = record.ideal.TryCharge({request.at, kUnit});
      if (request.admitted)
        result_.excess = std::max(result_.excess, record.exact.ForceCharge({request.at, kUnit}));
      if (!measure || !record.is_measured) continue;
      PartnerRecord::Count& count = record.by_gateway[request.gateway];
      ++count.requests;
      for (std::size_t limiter = 0; limiter < kLimiterCount; ++limiter) {
        count.admitted[limiter] += admitted[limiter];
        result_.wrongly_rejected[limiter] += admitted[kIdeal] && !admitted[limiter];
      }
      if (!is_reachable) {
        ++result_.central_unreachable;
      } else if (cluster_.SiteOf(*holder) != cluster_.SiteOf(request.gateway)) {
        const GatewayClusterOptions& cluster = cluster_.options();
        result_.central_delay_ms += std::chrono::duration<double, std::milli>(cluster.min_intersite_delay +
                                                                              cluster.max_intersite_delay)
                                        .count();
      }
    }
  }

  void StartMeasuring() {
    is_measuring_ = true;
    for (PartnerRecord& record : records_) record.by_gateway.clear();
    result_.wrongly_rejected = {};
    result_.central_delay_ms = result_.central_unreachable = 0;
    cluster_.ClearCosts();
  }

  // Adds the counts of all measured partners to the result.
  void Summarize() {
    double weights = 0;
    for (const PartnerRecord& record : records_) {
      if (!record.is_measured) continue;
      result_.budget += static_cast<double>(record.rate) / kUnit;
      std::vector<double> demands;
      for (const auto& [gateway, count] : record.by_gateway) demands.push_back(count.requests);
      const double requests = std::accumulate(demands.begin(), demands.end(), 0.0);
      result_.requests += requests;
      weights += requests;
      for (std::size_t limiter = 0; limiter < kLimiterCount; ++limiter) {
        std::vector<double> admitted;
        for (const auto& [gateway, count] : record.by_gateway) admitted.push_back(count.admitted[limiter]);
        result_.admitted[limiter] += std::accumulate(admitted.begin(), admitted.end(), 0.0);
        result_.fairness[limiter] += requests * JainIndex(admitted, demands);
      }
    }
    for (double& fairness : result_.fairness) fairness /= std::max(weights, 1.0);
    result_.central_delay_ms /= std::max(result_.requests - result_.central_unreachable, 1.0);
  }

  // Crashes the holder of the first partner's lease. From then on, only the partners whose
  // allocators' leases it held are measured.
  void CrashHolder() {
    const auto crashed = cluster_.Holder(quota::AllocatorOf(cluster_.partner(0), options_.allocators));
    if (!crashed) return;
    for (PartnerId p = 0; p < options_.partners; ++p)
      records_[p].is_measured =
          cluster_.Holder(quota::AllocatorOf(cluster_.partner(p), options_.allocators)) == crashed;
    cluster_.Crash(*crashed);
  }

  // Partitions the network until `until`: the last third of the sites cannot reach the others.
  void PartitionSites(Moment until) {
    Network::Machines others, last;
    for (std::size_t i = 0; i < cluster_.size(); ++i)
      (cluster_.SiteOf(i) >= options_.sites - options_.sites / 3 ? last : others).push_back(i);
    const Network::Id cut = cluster_.world().network().Partition({others, last});
    cluster_.world().At(until, [this, cut] { cluster_.world().network().End(cut); });
  }

  const RunOptions options_;
  const std::shared_ptr<const quota::Budgets> budgets_;
  GatewayCluster cluster_;
  std::mt19937_64 random_;
  std::vector<PartnerRecord> records_;
  std::vector<std::vector<std::uint32_t>> gateways_of_;  // the gateways with traffic, by partner
  RunResult result_;
  bool is_measuring_ = false;
};

}  // namespace

RunResult Run(const RunOptions& options) { return Runner(options).Run(); }

}  // namespace load_balancer::model::scale
