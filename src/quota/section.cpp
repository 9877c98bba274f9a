// SPDX-License-Identifier: Apache-2.0
#include "quota/section.h"

#include <cmath>

#include "base/config/section.h"
#include "quota/messages.h"

namespace load_balancer::quota {
namespace {

using nlohmann::json;

constexpr double kLeast = 0.001;  // a unit a second, or a unit

Milli MilliOf(double units) { return std::llround(units * static_cast<double>(kOne)); }

Budget ReadBudget(const json& partners, const std::string& name, std::vector<std::string>* faults) {
  std::vector<std::string> here;
  Section section(partners, name, {"per_s", "burst", "unit", "over", "floors"}, &here);
  double rate = 0, burst = 0;
  std::string unit = "requests", over = "mark";
  section.Real("per_s", kLeast, static_cast<double>(kMostRate / kOne), &rate);
  section.Real("burst", kLeast, static_cast<double>(kMostBurst / kOne), &burst);
  section.Text("unit", &unit);
  section.Text("over", &over);
  for (const char* key : {"per_s", "burst"})
    if (!section.Find(key)) section.Fault(key, "is missing");
  if (unit != "requests" && unit != "work") section.Fault("unit", "is neither requests nor work");
  if (over != "mark" && over != "refuse") section.Fault("over", "is neither mark nor refuse");
  Budget budget{MilliOf(rate),
                MilliOf(burst),
                unit == "work" ? Unit::kWork : Unit::kRequests,
                over == "refuse" ? Over::kRefuse : Over::kMark,
                {}};
  const json* floors = section.Find("floors");
  if (floors && !floors->is_object()) section.Fault("floors", "is no object");
  Milli sum = 0;
  const json none = json::object();
  for (const auto& [site, value] : (floors && floors->is_object() ? *floors : none).items()) {
    if (!value.is_number() || !(value.get<double>() >= 0) || value.get<double>() > rate) {
      section.Fault("floors." + site, "is no figure from 0 to per_s");
      continue;
    }
    sum += budget.floors[site] = MilliOf(value.get<double>());
  }
  if (sum > budget.rate) section.Fault("floors", "are more than per_s together");
  for (const std::string& fault : here) faults->push_back("quota.partners." + fault);
  return budget;
}

}  // namespace

// The keys `treasurers` and `draw_ms` are older than the names of the fields.
QuotaSection ReadQuota(const json& root, std::vector<std::string>* faults) {
  QuotaSection quota;
  Section section(root, "quota", {"revision", "treasurers", "draw_ms", "ask_ms", "partners"}, faults);
  quota.on = section.present();
  section.Whole<std::uint64_t>("revision", 0, std::uint64_t{1} << 62, &quota.budgets.revision);
  section.Whole<std::size_t>("treasurers", 1, 64, &quota.allocators);
  section.Time("draw_ms", 100, 60000, &quota.grant_life);
  section.Time("ask_ms", 10, 10000, &quota.ask);
  if (!quota.on) return quota;
  if (!section.Find("revision")) section.Fault("revision", "is missing");
  if (quota.grant_life < 4 * quota.ask) section.Fault("draw_ms", "is under 4 times ask_ms");
  const json* partners = section.Find("partners");
  if (!partners || !partners->is_object()) {
    section.Fault("partners", "is no object");
    return quota;
  }
  for (const auto& [name, value] : partners->items()) {
    if (name.empty() || name.size() > kMostPartner || !value.is_object())
      section.Fault("partners." + name, "is no partner");
    else
      quota.budgets.partners[name] = ReadBudget(*partners, name, faults);
  }
  return quota;
}

void CheckQuota(const QuotaSection& quota, const Layout& sites, const std::set<std::string>& tenants,
                std::chrono::milliseconds lease_term, std::chrono::milliseconds lease_drift,
                std::vector<std::string>* faults) {
  if (!quota.on) return;
  if (quota.grant_life >= lease_term - 2 * lease_drift)
    faults->push_back("quota.draw_ms is not under sites.lease_term_ms less twice sites.lease_drift_ms");
  std::set<std::string> names;
  for (const auto& [site, gateways] : sites)
    for (const std::string& gateway : gateways)
      if (!names.insert(gateway).second)
        faults->push_back("sites.gateways." + site + "." + gateway + " is the name of two gateways");
  for (const auto& [partner, budget] : quota.budgets.partners) {
    const std::string at = "quota.partners." + partner;
    if (!tenants.contains(partner)) faults->push_back(at + " is no tenant of the settings");
    for (const auto& [site, floor] : budget.floors) {
      const auto gateways = sites.find(site);
      if (gateways == sites.end())
        faults->push_back(at + ".floors." + site + " is no site");
      else if (floor > 0 && budget.unit == Unit::kRequests &&
               FloorOf(budget, site, gateways->second.size()).depth < kOne)
        faults->push_back(at + ".floors." + site + " gives a gateway too little burst for one request");
    }
  }
}

}  // namespace load_balancer::quota
