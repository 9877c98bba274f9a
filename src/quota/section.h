// SPDX-License-Identifier: Apache-2.0
//
/// @file
/// The configuration's section `quota`: the budgets of partners over all gateways.
#ifndef LOAD_BALANCER_QUOTA_SECTION_H_
#define LOAD_BALANCER_QUOTA_SECTION_H_

#include <chrono>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>
#include <vector>

#include "quota/budget.h"
#include "quota/key_aliases.h"

namespace load_balancer::quota {

/// The names by which the file gives keys that have a former name, so that faults name them as the file does.
struct QuotaKeyNames {
  std::string allocators = kAllocatorsKey.key;
  std::string grant_lifetime = kGrantLifetimeKey.key;
  std::map<std::string, std::string> reserved_minimums;  ///< By partner.
};

/// The section's values. Keys, units and ranges are in docs/configuration.md.
struct QuotaSection {
  /// False if the section is absent: then tenants' quotas are divided evenly as the settings say.
  bool on = false;
  /// Allocators that the partners are spread over; must not change in service.
  std::size_t allocators = 4;
  std::chrono::milliseconds max_grant_lifetime{2000};
  std::chrono::milliseconds request_interval{250};
  Budgets budgets;
  QuotaKeyNames key_names;
};

/// Reads `quota` of the file's root object. Appends one line per fault to `faults`.
QuotaSection ReadQuota(const nlohmann::json& root, std::vector<std::string>* faults);

/// Checks the section against the rest of the file: the gateways of `sites`, the tenants of the settings, and
/// the term and drift of the federation's leases. Appends one line per fault.
void CheckQuota(const QuotaSection& quota, const SiteLayout& sites, const std::set<std::string>& tenants,
                std::chrono::milliseconds lease_term, std::chrono::milliseconds lease_drift,
                std::vector<std::string>* faults);

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_SECTION_H_
