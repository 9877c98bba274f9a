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

/// For each key that has a former name: the name that the configuration file uses. Fault messages use the
/// same name as the file.
struct QuotaKeyNames {
  std::string allocators = kAllocatorsKey.key;
  std::string grant_lifetime = kGrantLifetimeKey.key;
  /// The name of the key `reserved_minimums`, by partner.
  std::map<std::string, std::string> reserved_minimums;
};

/// The section's values. docs/configuration.md lists keys, units and ranges.
struct QuotaSection {
  /// Whether the section is present. If it is absent, tenants' quotas are divided evenly, according to the
  /// settings.
  bool on = false;
  /// The number of allocators among which the partners are distributed. It must not change while the fleet
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
