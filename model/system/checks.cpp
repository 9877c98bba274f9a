// SPDX-License-Identifier: Apache-2.0
#include "model/system/checks.h"

#include <algorithm>
#include <sstream>

#include "model/system/gateway.h"

namespace load_balancer::model {
namespace {

constexpr std::size_t kMostLines = 20;  // of what is broken
constexpr Span kOverdue = std::chrono::milliseconds(1);

std::string At(Moment moment) {
  std::ostringstream text;
  text << " at " << static_cast<double>(moment.count()) / 1e6 << " ms";
  return text.str();
}

std::string Name(const Checks::Try& one) {
  return "request " + std::to_string(one.first) + " in its try " + std::to_string(one.second);
}

}  // namespace

void Checks::Watch(Federation& federation) {
  federation_ = &federation;
  const overflow::Options& spill = wiring_.spill;
  const std::size_t senders = (wiring_.sites.size() - 1) * federation.options().members;
  for (const std::string& site : wiring_.sites)
    offers_.emplace(site, OfferCheck(spill.staleness + spill.max_clock_skew + spill.estimate_interval,
                                     spill.slack, senders));
}

void Checks::Break(std::string line) {
  if (broken_.size() < kMostLines) broken_.push_back(std::move(line));
}

SystemGateway* Checks::Gateway(std::size_t machine) {
  return static_cast<SystemGateway*>(federation_->program(machine));
}

void Checks::Acted(std::size_t machine, std::size_t pool, const std::string& duty,
                   fleet::FencingToken token) {
  ++acts_;
  const std::string who = federation_->world().host(machine).Name();
  for (const std::size_t holder : FindHolders(*federation_, machine, pool, duty))
    if (holder != machine)
      Break(who + " acts for " + duty + " while " + federation_->world().host(holder).Name() + " holds it" +
            At(now()));
  if (!federation_->member(machine, pool)->HoldsLease(duty))
    Break(who + " acts for " + duty + " without its lease" + At(now()));
  fleet::FencingToken& largest = tokens_[{pool, duty}];
  if (tokens_grow_ && token < largest) Break(who + " acts for " + duty + " with an older token" + At(now()));
  largest = std::max(largest, token);
}

std::size_t Checks::Admitted(const std::string& partner, Try one, quota::MilliUnits cost) {
  auto& charges = charges_[partner];
  charges.push_back({{now(), cost}, one, false});
  return charges.size() - 1;
}

void Checks::Credited(const std::string& partner, std::size_t number) {
  charges_.at(partner).at(number).credited = true;
}

void Checks::Spilled(const std::string& site, const std::string& to, const RequestReceived& request,
                     Try one) {
  ++spilled_;
  const std::string what = Name(one) + " goes from " + site + " to " + to;
  if (request.is_overflow) Break(what + " though it was spilled to " + site + At(now()));
  if (request.quota_status == QuotaStatus::kOverQuota)
    Break(what + " though its partner is over its budget" + At(now()));
  const double over = offers_.at(to).Sent(now(), request.work_ms);
  if (!skew_kept_) return;
  if (over > 0) Break(what + ", which is " + std::to_string(over) + " ms of work over its offer" + At(now()));
  // A member's word counts for as long as an estimate does, and so does an estimate made of it.
  const overflow::Options& spill = wiring_.spill;
  const Moment lives = 2 * spill.staleness + spill.max_clock_skew + 2 * spill.estimate_interval;
  const auto since = no_spare_since_.find(to);
  if (since != no_spare_since_.end() && now() - since->second > lives)
    Break(what + ", which has had no spare since" + At(since->second) + At(now()));
}

void Checks::Estimated(const std::string& site, double offer) { offers_.at(site).Offer(now(), offer); }

void Checks::Sample() {
  std::vector<double> spare(wiring_.sites.size(), 0);
  for (std::size_t machine = 0; machine < federation_->size(); ++machine) {
    SystemGateway* gateway = Gateway(machine);
    if (!gateway) continue;
    spare[SiteOf(machine)] += gateway->SpareNow().work_per_ms;
    const Host& host = federation_->world().host(machine);
    if (!federation_->world().stalled(machine) && gateway->Overdue(host.Now() - kOverdue) > 0)
      Break(host.Name() + " keeps a request past its deadline" + At(now()));
  }
  for (std::size_t site = 0; site < spare.size(); ++site) {
    offers_.at(wiring_.sites[site]).Advance(now());
    if (spare[site] > 0)
      no_spare_since_.erase(wiring_.sites[site]);
    else
      no_spare_since_.try_emplace(wiring_.sites[site], now());
  }
}

void Checks::CheckDuty(std::size_t machine, std::size_t pool, const std::string& duty) {
  const std::size_t holders = FindHolders(*federation_, machine, pool, duty).size();
  if (holders != 1) Break(duty + " has " + std::to_string(holders) + " holders after the faults" + At(now()));
}

void Checks::Recovered() {
  for (const std::size_t pool : {kSitePool, kFederationPool})
    for (std::string& line : FindWrongViews(*federation_, pool)) Break("after the faults " + std::move(line));
  for (std::size_t i = 0; i < wiring_.allocators; ++i) CheckDuty(0, kFederationPool, Wiring::AllocatorOf(i));
  for (std::size_t site = 0; site < wiring_.sites.size(); ++site)
    CheckDuty(federation_->MachineIndex(site, 0), kSitePool, Wiring::AmbassadorOf(wiring_.sites[site]));
  if (!skew_kept_) return;
  for (std::size_t machine = 0; machine < federation_->size(); ++machine)
    for (const std::string& site : wiring_.sites)
      if (!Gateway(machine)->HasEstimateOf(site))
        Break(federation_->world().host(machine).Name() + " has no fresh estimate of " + site +
              " after the faults" + At(now()));
}

void Checks::Over(const Ledger& ledger) {
  for (std::string& line : ledger.Broken(now())) Break(std::move(line));
  CheckBudgets(ledger);
  for (std::size_t machine = 0; machine < federation_->size(); ++machine)
    if (const std::string left = Gateway(machine)->LeftOpen(); !left.empty())
      Break(federation_->world().host(machine).Name() + " still has " + left + At(now()));
}

void Checks::CheckBudgets(const Ledger& ledger) {
  const auto ran = [&](const Try& one) {
    const auto call = ledger.calls().find(one.first);
    return call != ledger.calls().end() && call->second.runs.contains(one.second);
  };
  for (const auto& [partner, charges] : charges_) {
    std::vector<Admission> counted;
    for (const Charge& charge : charges) {
      if (!charge.credited) counted.push_back(charge.admission);
      if (charge.credited && ran(charge.one)) Break(Name(charge.one) + " ran, and its charge was credited");
    }
    const quota::Budget& budget = wiring_.budgets->partners.at(partner);
    if (const auto over = FindOverspend(counted, budget.rate, budget.burst))
      Break(partner + " overspent by " + std::to_string(over->excess) + " from" + At(over->from) + " to" +
            At(over->to));
  }
  for (const Try& one : over_budget_)
    if (ran(one)) Break(Name(one) + " ran, and was refused for its partner's budget");
}

Checks::Counts Checks::counts() const {
  Counts counts{acts_, 0, 0, over_budget_.size(), spilled_};
  for (const auto& [partner, charges] : charges_)
    for (const Charge& charge : charges) ++(charge.credited ? counts.credited : counts.admitted);
  return counts;
}

}  // namespace load_balancer::model
