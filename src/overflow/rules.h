// SPDX-License-Identifier: Apache-2.0
//
// The rules by which a request may be forwarded to another site.
#ifndef LOAD_BALANCER_OVERFLOW_RULES_H_
#define LOAD_BALANCER_OVERFLOW_RULES_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "base/time.h"
#include "load_balancer/balancer.h"
#include "overflow/options.h"

namespace load_balancer::overflow {

// RejectedRequest is a request that this site's decision module has rejected.
struct RejectedRequest {
  RequestId request = 0;
  Idempotency idempotency = Idempotency::kNotIdempotent;
  Span latency_objective_left{0}, deadline_left{0};  // time left until the objective and the deadline
  double work_ms = 0;          // the hinted work, or the decision module's mean if there is no hint
  double priority_weight = 0;  // of a response within the latency objective
  std::uint64_t key = 0;       // 0: the request has no key
  bool within_budget = true;   // its tenant is within its budget
  bool may_have_run = false;   // an attempt was sent, and it is not proven that a server did not run it
  bool forwarded = false;      // another site has forwarded it to this site
  Span retry_after{0};         // the decision module's advice to the client when to retry; 0: none
};

// RejectReason says why a request is not forwarded, or not forwarded again.
enum class RejectReason {
  kMayHaveRun,         // the request could run twice
  kIdempotencyKey,     // servers of another site cannot recognise a request that already ran at this site
  kAlreadyForwarded,   // another site forwarded it to this site; a request is forwarded only once
  kOverBudget,         // requests of a tenant over its budget are never forwarded
  kUnknownWork,        // no capacity can be charged for a request of unknown work
  kBelowThreshold,     // its priority weight per unit of work is below the threshold
  kNotOverCapacity,    // this site is not over capacity, or has been over capacity only for a short time
  kTooLate,            // no other site could respond within the latency objective
  kNoCapacity,         // no other site offers enough capacity to this gateway now
  kNoGateway,          // no gateway of any other site is in service
  kAttemptsExhausted,  // all permitted attempts have been made
};
inline constexpr int kReasonCount = 11;
// Returns the text that stands for the reason in descriptions.
std::string_view Name(RejectReason reason);

// Returns the reason for which the request itself must not be forwarded, or nothing if it may be.
std::optional<RejectReason> CheckEligibility(const RejectedRequest& request, const Options& options);

// Maximum number of times that an idempotent request is sent to other sites.
inline constexpr int kMaxAttempts = 2;
// Returns the maximum number of times that a request is sent to other sites. A request that is not idempotent
// is sent once, whatever the result.
int MaxAttempts(Idempotency idempotency);

// Returns the expected time until the response arrives: the propagation time in both directions, the wait at
// the other site, and the work itself.
Span EstimateResponseTime(const Options& options, std::uint64_t wait_ms, double work_ms);

}  // namespace load_balancer::overflow

#endif  // LOAD_BALANCER_OVERFLOW_RULES_H_
