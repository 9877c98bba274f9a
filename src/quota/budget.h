// SPDX-License-Identifier: Apache-2.0
//
// What each partner may spend over all gateways of the federation, and the parts of it that need no
// allocator.
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

enum class Unit { kRequests, kWork };  // kWork: milliseconds of hinted work
enum class Over { kMark, kRefuse };    // what becomes of a request over the budget

// A token bucket of `rate` and `burst` over all gateways.
struct Budget {
  Milli rate = 0;   // a second, 1 to kMostRate
  Milli burst = 0;  // 1 to kMostBurst
  Unit unit = Unit::kRequests;
  Over over = Over::kMark;
  std::map<std::string, Milli> floors;  // of each site, a second; their sum is at most `rate`
};

// All budgets of one file. A larger revision is newer; the same revision means the same budgets.
struct Budgets {
  std::uint64_t revision = 0;
  std::map<std::string, Budget, std::less<>> partners;
};

// The gateways of each site, as configured: names are unique over all sites.
using Layout = std::map<std::string, std::set<std::string>>;

// What all processes of the federation have in common, or they do not understand each other.
struct Timings {
  Span grant_life = std::chrono::milliseconds(2000);  // the longest life of a grant
  Span ask = std::chrono::milliseconds(250);    // between two asks of a gateway that has less than it needs
  Span term = std::chrono::milliseconds(3000);  // of the allocators' leases
  Span drift = std::chrono::milliseconds(100);  // that a clock may gain or lose over a term
  // By how much two machines' clocks may differ over any span of at most a term.
  Span Apart() const { return 2 * drift; }
};

// The part that goes with `rate` of `budget`: its depth is the burst's share, rounded down.
Part PartOf(const Budget& budget, Milli rate);

// The part of one gateway of `site` without a grant: the site's floor by its configured gateways, rounded
// down. Zero for a site without a floor or without gateways.
Part FloorOf(const Budget& budget, const std::string& site, std::size_t gateways);

// The rate at which a bucket may fill by a machine's own clock so that it never fills faster than `rate` in
// true time, as each clock's rate is within drift / term of true: rate x term / (term + drift), rounded down.
Milli SlowedRate(Milli rate, const Timings& timings);

// Which of `allocators` duties the partner belongs to: XXH3 of its name, modulo. Not for 0 allocators.
std::size_t AllocatorOf(std::string_view partner, std::size_t allocators);

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_BUDGET_H_
