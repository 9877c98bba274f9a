// SPDX-License-Identifier: Apache-2.0
//
// Which requests may be spilled at all.
#ifndef LOAD_BALANCER_OVERFLOW_RULES_H_
#define LOAD_BALANCER_OVERFLOW_RULES_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "base/time.h"
#include "load_balancer/balancer.h"
#include "overflow/options.h"

namespace load_balancer::overflow {

// A request that the module has refused. Times are what is left of them now.
struct Refused {
  RequestId request = 0;
  Idempotency idempotency = Idempotency::kNotIdempotent;
  Span latency_objective_left{0}, deadline_left{0};
  double work_ms = 0;          // hinted, or the module's mean where there is no hint
  double priority_weight = 0;  // of an answer within its aim
  std::uint64_t key = 0;       // 0: none
  bool within_budget = true;   // its tenant is within its share
  bool may_have_run = false;   // an attempt of it was sent and is not proven not to have run
  bool spilled = false;        // another site has spilled it here
  Span retry_after{0};         // the module's advice to the client; 0: none
};

// Why a request is not spilled, or no longer.
enum class Why {
  kMayHaveRun,   // it could run twice
  kKeyed,        // servers of another site do not drop the repeats of ours
  kSpilled,      // one hop only
  kOverBudget,   // nothing of a tenant that is over its share
  kNoWork,       // its work is unknown, so no share can be charged
  kLittleWorth,  // worth per work under the threshold
  kNotOver,      // this site is not over capacity, or has not been for long enough
  kNoTime,       // no neighbour could answer within its aim
  kNoShare,      // no neighbour offers enough to this gateway now
  kNoNeighbour,  // no gateway of any neighbour is in service
  kAttempted     // it has had all its attempts
};
inline constexpr int kWhys = 11;
std::string_view Name(Why why);

// What the request itself forbids; nothing: it may be spilled as far as it is concerned.
std::optional<Why> Forbids(const Refused& request, const Options& options);

// Of a safe class; any other is spilled at most once in all, whatever comes back.
inline constexpr int kMostAttempts = 2;
int MostAttempts(Idempotency idempotency);

// Until an answer would be back: the way there and back, the neighbour's wait, and the work itself.
Span Needs(const Options& options, std::uint64_t wait_ms, double work_ms);

}  // namespace load_balancer::overflow

#endif  // LOAD_BALANCER_OVERFLOW_RULES_H_
