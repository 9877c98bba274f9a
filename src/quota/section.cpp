// SPDX-License-Identifier: Apache-2.0
#include "quota/section.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "base/config/section.h"
#include "quota/messages.h"

namespace brackenspoke::quota {
namespace {

using nlohmann::json;

constexpr int kAsksInADraw = 4;  // at least, so that a lost one does not cost the draw

// In thousandths; 0 after a fault.
Milli ReadAmount(const json& value, double least, Milli most, const std::string& path, Section* section) {
  const double units = value.is_number() ? value.get<double>() : -1;
  if (!(units >= least && units <= static_cast<double>(most / kOne))) {
    section->Fault(path, "is no number from " + json(least).dump() + " to " + std::to_string(most / kOne));
    return 0;
  }
  return std::llround(units * static_cast<double>(kOne));
}

// Which of two words a key has; the first where it is absent.
bool IsSecond(const json& partner, const char* key, const char* first, const char* second,
              const std::string& path, Section* section) {
  const auto found = partner.find(key);
  if (found == partner.end() || *found == first) return false;
  if (*found != second)
    section->Fault(path + "." + key, std::string("is neither ") + first + " nor " + second);
  return *found == second;
}

Milli ReadRequired(const json& partner, const char* key, Milli most, const std::string& path,
                   Section* section) {
  const auto found = partner.find(key);
  if (found != partner.end()) return ReadAmount(*found, 0.001, most, path + "." + key, section);
  section->Fault(path + "." + key, "is missing");
  return 0;
}

void ReadFloors(const json& floors, const std::string& path, Section* section, Budget* budget) {
  if (!floors.is_object()) return section->Fault(path, "is no object");
  Milli sum = 0;
  for (const auto& [site, rate] : floors.items())
    sum += budget->floors[site] = ReadAmount(rate, 0, kMostRate, path + "." + site, section);
  if (sum > budget->rate) section->Fault(path, "are over per_s together");
}

Budget ReadBudget(const json& partner, const std::string& path, Section* section) {
  Budget budget;
  if (!partner.is_object()) {
    section->Fault(path, "is no object");
    return budget;
  }
  for (const auto& [key, value] : partner.items())
    if (key != "per_s" && key != "burst" && key != "unit" && key != "over" && key != "floors")
      section->Fault(path + "." + key, "is no known key");
  budget.rate = ReadRequired(partner, "per_s", kMostRate, path, section);
  budget.burst = ReadRequired(partner, "burst", kMostBurst, path, section);
  if (IsSecond(partner, "unit", "requests", "work", path, section)) budget.unit = Unit::kWork;
  if (IsSecond(partner, "over", "mark", "refuse", path, section)) budget.over = Over::kRefuse;
  if (const auto floors = partner.find("floors"); floors != partner.end())
    ReadFloors(*floors, path + ".floors", section, &budget);
  return budget;
}

}  // namespace

QuotaSection ReadQuota(const json& root, std::vector<std::string>* faults) {
  QuotaSection quota;
  Section section(root, "quota", {"revision", "treasurers", "draw_ms", "ask_ms", "partners"}, faults);
  quota.on = section.present();
  if (!quota.on) return quota;
  Budgets budgets;
  section.Whole<std::uint64_t>("revision", 1, 1'000'000'000'000, &budgets.revision);
  if (!section.Find("revision")) section.Fault("revision", "is missing");
  section.Whole<std::size_t>("treasurers", 1, 64, &quota.treasurers);
  section.Time("draw_ms", 100, 60000, &quota.draw);
  section.Time("ask_ms", 10, 60000, &quota.ask);
  if (quota.draw < quota.ask * kAsksInADraw) section.Fault("draw_ms", "is under 4 times ask_ms");
  const json* partners = section.Find("partners");
  if (!partners || !partners->is_object()) {
    section.Fault("partners", partners ? "is no object" : "is missing");
    return quota;
  }
  for (const auto& [name, partner] : partners->items()) {
    const std::string path = "partners." + name;
    if (name.empty() || name.size() > kMostPartner) section.Fault(path, "is no name of 1 to 64 bytes");
    budgets.partners[name] = ReadBudget(partner, path, &section);
  }
  quota.budgets = std::make_shared<const Budgets>(std::move(budgets));
  return quota;
}

void CheckQuota(const QuotaSection& quota, const Layout& layout, const std::vector<std::string>& tenants,
                std::chrono::milliseconds term, std::chrono::milliseconds drift,
                std::vector<std::string>* faults) {
  if (!quota.on) return;
  if (layout.empty()) return faults->push_back("quota needs the section sites");
  if (quota.draw >= term - 2 * drift)
    faults->push_back("quota.draw_ms is not under sites.lease_term_ms less 2 times lease_drift_ms");
  for (const auto& [name, budget] : quota.budgets->partners) {
    const std::string path = "quota.partners." + name;
    if (std::find(tenants.begin(), tenants.end(), name) == tenants.end())
      faults->push_back(path + " is no tenant of the settings");
    for (const auto& [site, rate] : budget.floors) {
      const auto gateways = layout.find(site);
      if (gateways == layout.end()) {
        faults->push_back(path + ".floors." + site + " is no site");
      } else if (rate > 0 && FloorOf(budget, site, gateways->second.size()).depth < kOne) {
        faults->push_back(path + ".burst is too small: a gateway's part of it by floors." + site +
                          " holds no request");
      }
    }
  }
}

}  // namespace brackenspoke::quota
