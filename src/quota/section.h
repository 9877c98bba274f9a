// SPDX-License-Identifier: Apache-2.0
//
/// @file
/// The section `quota` of the configuration: the budgets of the partners.
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

/// The key names that the file uses, for keys that have a former name. Faults name a key as the file does.
struct QuotaKeyNames {
  std::string allocators = kAllocatorsKey.key;
  std::string grant_lifetime = kGrantLifetimeKey.key;
  std::map<std::string, std::string> reserved_minimums;  ///< The name of that key, by partner.
};

/// The section's values. docs/configuration.md lists keys, units and ranges.
struct QuotaSection {
  /// Whether the section is present. If it is absent, tenants' quotas are divided evenly, as the settings
  /// say.
  bool on = false;
  /// The number of allocators that the partners are distributed over. It must not change while the fleet
  /// runs.
  std::size_t allocators = 4;
  std::chrono::milliseconds max_grant_lifetime{2000};
  std::chrono::milliseconds request_interval{250};
  Budgets budgets;
  QuotaKeyNames key_names;
};

/// Reads the section `quota` of the file's root object. Appends one line per fault to `faults`.
QuotaSection ReadQuota(const nlohmann::json& root, std::vector<std::string>* faults);

/// Checks the section against the rest of the file: the gateways of `sites`, the tenants of the settings, and
/// the term and drift of the federation's leases. Appends one line per fault to `faults`.
void CheckQuota(const QuotaSection& quota, const SiteLayout& sites, const std::set<std::string>& tenants,
                std::chrono::milliseconds lease_term, std::chrono::milliseconds lease_drift,
                std::vector<std::string>* faults);

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_SECTION_H_
