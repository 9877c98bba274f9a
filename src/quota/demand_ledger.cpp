// SPDX-License-Identifier: Apache-2.0
#include "quota/demand_ledger.h"

#include <stdexcept>

#include "quota/failures.h"

namespace load_balancer::quota {
namespace {

using nlohmann::json;

constexpr int kLedgerVersion = 1;
constexpr const char* kVersionKey = "v";
constexpr const char* kPartnersKey = "partners";

// Throws json::exception or std::invalid_argument if any part of the JSON is malformed.
std::vector<DemandLedgerEntry> ReadEntries(const json& ledger) {
  if (ledger.at(kVersionKey).get<int>() != kLedgerVersion)
    throw std::invalid_argument("the version of the ledger is not 1");
  std::vector<DemandLedgerEntry> entries;
  for (const auto& [partner, gateways] : ledger.at(kPartnersKey).get_ref<const json::object_t&>())
    for (const auto& [gateway, demand] : gateways.get_ref<const json::object_t&>()) {
      if (!demand.is_number_unsigned() || demand.get<std::uint64_t>() > kMaxRate)
        throw std::invalid_argument("a demand is not an unsigned integer or is out of range");
      entries.push_back({partner, gateway, demand.get<MilliUnits>()});
    }
  return entries;
}

}  // namespace

json DemandLedgerToJson(const std::vector<DemandLedgerEntry>& entries) {
  json partners = json::object();
  for (const DemandLedgerEntry& entry : entries)
    partners[entry.partner][entry.gateway] = static_cast<std::uint64_t>(entry.demand);
  return {{kVersionKey, kLedgerVersion}, {kPartnersKey, std::move(partners)}};
}

Result<std::vector<DemandLedgerEntry>> DemandLedgerFromJson(const json& ledger, const std::string& subject) {
  try {
    return ReadEntries(ledger);
  } catch (const json::exception& error) {
    return tl::unexpected(Failure(kBadLedger, subject, error.what()));
  } catch (const std::invalid_argument& error) {
    return tl::unexpected(Failure(kBadLedger, subject, error.what()));
  }
}

}  // namespace load_balancer::quota
