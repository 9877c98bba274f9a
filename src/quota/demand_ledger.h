// SPDX-License-Identifier: Apache-2.0
//
/// @file
/// The demand ledger, which an allocator passes to the next lease holder or process as JSON: {"v": 1,
/// "partners": {partner: {gateway: demand in MilliUnits per second}}}.
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

/// Encodes a ledger.
nlohmann::json DemandLedgerToJson(const std::vector<DemandLedgerEntry>& entries);

/// Decodes a complete ledger. If any part is malformed, fails with kBadLedger and the given `subject`.
Result<std::vector<DemandLedgerEntry>> DemandLedgerFromJson(const nlohmann::json& ledger,
                                                            const std::string& subject);

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_DEMAND_LEDGER_H_
