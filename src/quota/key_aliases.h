// SPDX-License-Identifier: Apache-2.0
//
/// @file
/// The configuration keys of quotas that had another name before. Both names are read.
#ifndef LOAD_BALANCER_QUOTA_KEY_ALIASES_H_
#define LOAD_BALANCER_QUOTA_KEY_ALIASES_H_

#include <array>
#include <nlohmann/json.hpp>

namespace load_balancer::quota {

/// A configuration key and its former name.
struct KeyAlias {
  const char* key;
  const char* former;
};

/// Of the section `quota`.
inline constexpr KeyAlias kAllocatorsKey{"allocators", "treasurers"};
inline constexpr KeyAlias kGrantLifetimeKey{"grant_lifetime_ms", "draw_ms"};
inline constexpr std::array kSectionAliases{kAllocatorsKey, kGrantLifetimeKey};

/// Of a partner's budget.
inline constexpr KeyAlias kReservedMinimumsKey{"reserved_minimums", "floors"};
inline constexpr std::array kBudgetAliases{kReservedMinimumsKey};

/// The configuration file `root` with the section `quota` under the present names of the keys, for comparing
/// two files. Leaves alone what is malformed or given by both names, which ReadQuota reports.
nlohmann::json WithPresentKeys(nlohmann::json root);

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_KEY_ALIASES_H_
