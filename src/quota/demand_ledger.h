// SPDX-License-Identifier: Apache-2.0
//
/// @file
/// The demand that an allocator hands to the next lease holder or process as JSON: {"v": 1, "partners":
/// {partner: {gateway: thousandths per second}}}.
#ifndef LOAD_BALANCER_QUOTA_DEMAND_LEDGER_H_
#define LOAD_BALANCER_QUOTA_DEMAND_LEDGER_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/error/failure.h"
#include "quota/amount.h"

namespace load_balancer::quota {

/// The demand of a partner's traffic at one gateway.
struct DemandLedgerEntry {
  std::string partner;
  std::string gateway;
  MilliUnits demand = 0;  ///< Per second.
};

nlohmann::json DemandLedgerToJson(const std::vector<DemandLedgerEntry>& entries);

/// Decodes a complete ledger, or fails with kBadLedger with `place` as its place.
Result<std::vector<DemandLedgerEntry>> DemandLedgerFromJson(const nlohmann::json& ledger,
                                                            const std::string& place);

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_DEMAND_LEDGER_H_
