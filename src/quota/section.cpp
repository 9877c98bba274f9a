// SPDX-License-Identifier: Apache-2.0
#include "quota/section.h"

#include <cmath>

#include "base/config/section.h"
#include "quota/messages.h"

namespace load_balancer::quota {
namespace {

using nlohmann::json;

constexpr double kMinAmount = 0.001;  // units per second for a rate, units for a burst

MilliUnits ToMilliUnits(double units) { return std::llround(units * static_cast<double>(kUnit)); }

// Returns the name that the section uses for the key. Reports a fault if the section uses both names.
const char* KeyInUse(Section& section, const KeyAlias& alias) {
  if (!section.Find(alias.former)) return alias.key;
  if (!section.Find(alias.key)) return alias.former;
  section.Fault(alias.key, std::string("is also given by its former name ") + alias.former);
  return alias.key;
}

// Reads the reserved minimum of each site: a rate from 0 to `per_s`.
void ReadReservedMinimums(Section& section, const std::string& key, double per_s, Budget* budget) {
  const json* minimums = section.Find(key.c_str());
  if (!minimums) return;
  if (!minimums->is_object()) return section.Fault(key, "is no object");
  MilliUnits sum = 0;
  for (const auto& [site, value] : minimums->items()) {
    if (!value.is_number() || !(value.get<double>() >= 0) || value.get<double>() > per_s) {
      section.Fault(key + "." + site, "is not a number from 0 to per_s");
      continue;
    }
    const MilliUnits minimum = ToMilliUnits(value.get<double>());
    budget->reserved_minimums[site] = minimum;
    sum += minimum;
  }
  if (sum > budget->rate) section.Fault(key, "add up to more than per_s");
}

// Reads a partner's budget. Sets `reserved_minimums_key` to the name that the file uses for that key.
Budget ReadBudget(const json& partners, const std::string& name, std::string* reserved_minimums_key,
                  std::vector<std::string>* faults) {
  std::vector<std::string> budget_faults;
  Section section(partners, name,
                  {"per_s", "burst", "unit", "over", kReservedMinimumsKey.key, kReservedMinimumsKey.former},
                  &budget_faults);
  double per_s = 0;
  double burst = 0;
  std::string unit = "requests";
  std::string over = "mark";
  section.Real("per_s", kMinAmount, static_cast<double>(kMaxRate / kUnit), &per_s);
  section.Real("burst", kMinAmount, static_cast<double>(kMaxBurst / kUnit), &burst);
  section.Text("unit", &unit);
  section.Text("over", &over);
  for (const char* key : {"per_s", "burst"})
    if (!section.Find(key)) section.Fault(key, "is missing");
  if (unit != "requests" && unit != "work") section.Fault("unit", "is neither requests nor work");
  if (over != "mark" && over != "refuse") section.Fault("over", "is neither mark nor refuse");
  Budget budget;
  budget.rate = ToMilliUnits(per_s);
  budget.burst = ToMilliUnits(burst);
  budget.unit = unit == "work" ? Unit::kWork : Unit::kRequests;
  budget.over_limit_action = over == "refuse" ? OverLimitAction::kReject : OverLimitAction::kMark;
  *reserved_minimums_key = KeyInUse(section, kReservedMinimumsKey);
  ReadReservedMinimums(section, *reserved_minimums_key, per_s, &budget);
  for (const std::string& fault : budget_faults) faults->push_back("quota.partners." + fault);
  return budget;
}

void CheckBudget(const Budget& budget, const std::string& partner_path, const std::string& minimums_key,
                 const SiteLayout& sites, std::vector<std::string>* faults) {
  for (const auto& [site, minimum] : budget.reserved_minimums) {
    const std::string minimum_path = partner_path + "." + minimums_key + "." + site;
    const auto gateways = sites.find(site);
    if (gateways == sites.end()) {
      faults->push_back(minimum_path + " is not a site");
      continue;
    }
    if (minimum <= 0 || budget.unit != Unit::kRequests) continue;
    if (ReservedMinimumOf(budget, site, gateways->second.size()).depth < kUnit)
      faults->push_back(minimum_path + " gives a gateway too little burst for one request");
  }
}

void CheckGatewayNames(const SiteLayout& sites, std::vector<std::string>* faults) {
  std::set<std::string> names;
  for (const auto& [site, gateways] : sites)
    for (const std::string& gateway : gateways) {
      if (names.insert(gateway).second) continue;
      faults->push_back("sites.gateways." + site + "." + gateway + " is the name of two gateways");
    }
}

}  // namespace

QuotaSection ReadQuota(const json& root, std::vector<std::string>* faults) {
  QuotaSection quota;
  Section section(root, "quota",
                  {"revision", kAllocatorsKey.key, kAllocatorsKey.former, kGrantLifetimeKey.key,
                   kGrantLifetimeKey.former, "ask_ms", "partners"},
                  faults);
  QuotaKeyNames& names = quota.key_names;
  quota.on = section.present();
  names.allocators = KeyInUse(section, kAllocatorsKey);
  names.grant_lifetime = KeyInUse(section, kGrantLifetimeKey);
  section.Whole<std::uint64_t>("revision", 0, std::uint64_t{1} << 62, &quota.budgets.revision);
  section.Whole<std::size_t>(names.allocators.c_str(), 1, 64, &quota.allocators);
  section.Time(names.grant_lifetime.c_str(), 100, 60000, &quota.max_grant_lifetime);
  section.Time("ask_ms", 10, 10000, &quota.request_interval);
  if (!quota.on) return quota;
  if (!section.Find("revision")) section.Fault("revision", "is missing");
  if (quota.max_grant_lifetime < 4 * quota.request_interval)
    section.Fault(names.grant_lifetime, "is less than 4 times ask_ms");
  const json* partners = section.Find("partners");
  if (!partners || !partners->is_object()) {
    section.Fault("partners", "is no object");
    return quota;
  }
  for (const auto& [name, value] : partners->items()) {
    if (name.empty() || name.size() > kMaxPartnerNameBytes || !value.is_object())
      section.Fault("partners." + name, "is not an object or has a name that is empty or too long");
    else
      quota.budgets.partners[name] = ReadBudget(*partners, name, &names.reserved_minimums[name], faults);
  }
  return quota;
}

void CheckQuota(const QuotaSection& quota, const SiteLayout& sites, const std::set<std::string>& tenants,
                std::chrono::milliseconds lease_term, std::chrono::milliseconds lease_drift,
                std::vector<std::string>* faults) {
  if (!quota.on) return;
  const QuotaKeyNames& names = quota.key_names;
  if (quota.max_grant_lifetime >= lease_term - 2 * lease_drift)
    faults->push_back("quota." + names.grant_lifetime +
                      " is not less than sites.lease_term_ms minus twice sites.lease_drift_ms");
  CheckGatewayNames(sites, faults);
  for (const auto& [partner, budget] : quota.budgets.partners) {
    const std::string partner_path = "quota.partners." + partner;
    if (!tenants.contains(partner)) faults->push_back(partner_path + " is no tenant of the settings");
    CheckBudget(budget, partner_path, names.reserved_minimums.at(partner), sites, faults);
  }
}

}  // namespace load_balancer::quota
