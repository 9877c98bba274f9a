// SPDX-License-Identifier: Apache-2.0
//
/// @file
/// The budgets of the partners, each shared by all gateways of the federation, and the portions of a budget
/// that follow from the configuration alone.
#ifndef LOAD_BALANCER_QUOTA_BUDGET_H_
#define LOAD_BALANCER_QUOTA_BUDGET_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "base/time.h"
#include "quota/amount.h"

namespace load_balancer::quota {

/// The unit that a budget counts: requests, or milliseconds of hinted work.
enum class Unit { kRequests, kWork };

/// The action for a request that exceeds the budget: mark it as over the limit and handle it, or reject it.
enum class OverLimitAction { kMark, kReject };

/// One partner's budget: a token bucket of `rate` and `burst` that all gateways share.
struct Budget {
  MilliUnits rate = 0;   ///< Per second, 1 to kMaxRate.
  MilliUnits burst = 0;  ///< 1 to kMaxBurst.
  Unit unit = Unit::kRequests;
  OverLimitAction over_limit_action = OverLimitAction::kMark;
  /// The rate per second that each site may use without a grant, by site. The sum is at most `rate`.
  std::map<std::string, MilliUnits> reserved_minimums;
};

/// All budgets of one configuration file. A larger revision is newer. Equal revisions have equal budgets.
struct Budgets {
  std::uint64_t revision = 0;
  std::map<std::string, Budget, std::less<>> partners;
};

/// The names of the configured gateways, by site. Names of gateways are unique across all sites.
using SiteLayout = std::map<std::string, std::set<std::string>>;

/// Durations that all processes of the federation must agree on.
struct Timings {
  /// The longest lifetime of a grant.
  Span max_grant_lifetime = std::chrono::milliseconds(2000);
  /// The interval between the grant requests of a gateway whose allocation is below its demand.
  Span request_interval = std::chrono::milliseconds(250);
  /// The term of the allocators' leases.
  Span lease_term = std::chrono::milliseconds(3000);
  /// The most that a clock may gain or lose over a lease term.
  Span clock_drift = std::chrono::milliseconds(100);

  /// Returns the most by which the clocks of two machines may diverge within a lease term.
  Span MaxClockDifference() const { return 2 * clock_drift; }
};

/// Returns the portion of `budget` that has the given rate. The depth of the portion is the proportional part
/// of the burst, rounded down.
Allocation AllocationForRate(const Budget& budget, MilliUnits rate);

/// Returns the allocation that one gateway of `site` may use without a grant: the site's reserved minimum
/// divided by the number of the site's configured gateways, rounded down. The allocation is zero if the site
/// has no reserved minimum or no gateways.
Allocation ReservedMinimumOf(const Budget& budget, const std::string& site, std::size_t gateways);

/// Returns the rate, measured by the local clock, at which a bucket never fills faster than `rate` in true
/// time. A local clock runs fast by at most drift / term, so the result is rate * term / (term +
/// drift), rounded down.
MilliUnits SlowedRate(MilliUnits rate, const Timings& timings);

/// Returns the index of the allocator that is responsible for the partner: the XXH3 hash of the partner's
/// name modulo `allocators`, which must not be 0.
std::size_t AllocatorOf(std::string_view partner, std::size_t allocators);

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_BUDGET_H_
