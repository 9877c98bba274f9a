// SPDX-License-Identifier: Apache-2.0
//
/// @file
/// The configuration keys of quotas that have a former name. Either name is accepted.
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

/// Keys of the section `quota`.
inline constexpr KeyAlias kAllocatorsKey{"allocators", "treasurers"};
inline constexpr KeyAlias kGrantLifetimeKey{"grant_lifetime_ms", "draw_ms"};
inline constexpr std::array kSectionAliases{kAllocatorsKey, kGrantLifetimeKey};

/// Keys of a partner's budget.
inline constexpr KeyAlias kReservedMinimumsKey{"reserved_minimums", "floors"};
inline constexpr std::array kBudgetAliases{kReservedMinimumsKey};

/// Returns the configuration file `root` with the former key names of the section `quota` replaced by the
/// current ones, so that two files can be compared. Leaves values unchanged that are malformed or that are
/// given under both names; ReadQuota reports these.
nlohmann::json WithPresentKeys(nlohmann::json root);

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_KEY_ALIASES_H_
