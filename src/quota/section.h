// SPDX-License-Identifier: Apache-2.0
//
// The configuration's section `quota`: budgets of partners over all gateways.
#ifndef LOAD_BALANCER_QUOTA_SECTION_H_
#define LOAD_BALANCER_QUOTA_SECTION_H_

#include <chrono>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>
#include <vector>

#include "quota/budget.h"

namespace load_balancer::quota {

// `quota`: absent, tenants' shares are divided evenly as the settings say. Keys, units and ranges are in
// docs/configuration.md.
struct QuotaSection {
  bool on = false;
  std::size_t allocators = 4;  // duties that the partners are spread over; must not change in service
  std::chrono::milliseconds grant_life{2000};
  std::chrono::milliseconds ask{250};
  Budgets budgets;
};

// Reads `quota` of the file's root object. Appends one line per fault to `faults`.
QuotaSection ReadQuota(const nlohmann::json& root, std::vector<std::string>* faults);

// What `quota` must agree with elsewhere in the file: the gateways of `sites`, the tenants of the settings,
// and the term and drift of the federation's leases. Appends one line per fault.
void CheckQuota(const QuotaSection& quota, const Layout& sites, const std::set<std::string>& tenants,
                std::chrono::milliseconds lease_term, std::chrono::milliseconds lease_drift,
                std::vector<std::string>* faults);

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_SECTION_H_
