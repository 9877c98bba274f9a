// SPDX-License-Identifier: Apache-2.0
//
// The configuration's section `quota`.
#ifndef BRACKENSPOKE_QUOTA_SECTION_H_
#define BRACKENSPOKE_QUOTA_SECTION_H_

#include <chrono>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "quota/budget.h"

namespace brackenspoke::quota {

// `quota`: absent, no partner has a budget. Keys, units and ranges are in docs/configuration.md.
struct QuotaSection {
  bool on = false;
  std::size_t treasurers = 4;  // duties that the partners are spread over
  std::chrono::milliseconds draw{2000}, ask{250};
  std::shared_ptr<const Budgets> budgets = std::make_shared<Budgets>();
};

// Reads `quota` of the file's root object. Appends one line per fault to `faults`.
QuotaSection ReadQuota(const nlohmann::json& root, std::vector<std::string>* faults);

// What the section needs of others: `layout` is that of `sites`, empty where it is absent; `tenants` are the
// settings'; term and drift those of the federation's leases.
void CheckQuota(const QuotaSection& quota, const Layout& layout, const std::vector<std::string>& tenants,
                std::chrono::milliseconds term, std::chrono::milliseconds drift,
                std::vector<std::string>* faults);

}  // namespace brackenspoke::quota

#endif  // BRACKENSPOKE_QUOTA_SECTION_H_
