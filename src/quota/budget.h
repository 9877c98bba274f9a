// SPDX-License-Identifier: Apache-2.0
//
/// @file
/// The budgets of the partners over all gateways of the federation, and the portions of a budget that follow
/// from the configuration alone.
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

/// What a budget is counted in; kWork: milliseconds of hinted work.
enum class Unit { kRequests, kWork };

/// What is done with a request that exceeds the budget: handle it marked as over the limit, or reject it.
enum class OverLimitAction { kMark, kReject };

/// One partner's budget: a token bucket of `rate` and `burst` over all gateways.
struct Budget {
  MilliUnits rate = 0;   ///< Per second, 1 to kMaxRate.
  MilliUnits burst = 0;  ///< 1 to kMaxBurst.
  Unit unit = Unit::kRequests;
  OverLimitAction over_limit_action = OverLimitAction::kMark;
  /// The rate per second that each site has without a grant; their sum is at most `rate`.
  std::map<std::string, MilliUnits> reserved_minimums;
};

/// All budgets of one configuration file. A larger revision is newer; equal revisions mean equal budgets.
struct Budgets {
  std::uint64_t revision = 0;
  std::map<std::string, Budget, std::less<>> partners;
};

/// The configured gateways of each site. Names of gateways are unique over all sites.
using SiteLayout = std::map<std::string, std::set<std::string>>;

/// Durations that all processes of the federation must agree on.
struct Timings {
  /// The longest lifetime of a grant.
  Span max_grant_lifetime = std::chrono::milliseconds(2000);
  /// Time between two grant requests of a gateway that has less than it needs.
  Span request_interval = std::chrono::milliseconds(250);
  /// Term of the allocators' leases.
  Span lease_term = std::chrono::milliseconds(3000);
  /// How much a clock may gain or lose over a lease term.
  Span clock_drift = std::chrono::milliseconds(100);

  /// How much the clocks of two machines may differ over any span of at most a lease term.
  Span MaxClockDifference() const { return 2 * clock_drift; }
};

/// The portion of `budget` that has the given rate; its depth is the proportional part of the burst, rounded
/// down.
Allocation AllocationForRate(const Budget& budget, MilliUnits rate);

/// What one gateway of `site` has without a grant: the site's reserved minimum divided by its configured
/// gateways, rounded down. Zero for a site that has no reserved minimum or no gateways.
Allocation ReservedMinimumOf(const Budget& budget, const std::string& site, std::size_t gateways);

/// The rate at which a bucket may fill by a machine's own clock so that it never fills faster than `rate` in
/// true time. As each clock's rate is within drift / term of true, this is rate * term / (term + drift),
/// rounded down.
MilliUnits SlowedRate(MilliUnits rate, const Timings& timings);

/// The index of the allocator that the partner belongs to: XXH3 of its name modulo `allocators`, which must
/// not be 0.
std::size_t AllocatorOf(std::string_view partner, std::size_t allocators);

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_BUDGET_H_
