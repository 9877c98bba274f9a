// SPDX-License-Identifier: Apache-2.0
#include "overflow/rules.h"

#include <array>

namespace load_balancer::overflow {
namespace {

// Operators see these texts in the description of the router, so they keep their wording.
constexpr std::array<std::string_view, kReasonCount> kNames{
    "may have run", "keyed class",    "already spilled", "over its budget", "work unknown", "little worth",
    "not over",     "no time for it", "no share left",   "no neighbour",    "all attempted"};

}  // namespace

std::string_view Name(RejectReason reason) { return kNames.at(static_cast<std::size_t>(reason)); }

std::optional<RejectReason> CheckEligibility(const RejectedRequest& request, const Options& options) {
  if (request.may_have_run) return RejectReason::kMayHaveRun;
  if (request.forwarded) return RejectReason::kAlreadyForwarded;
  if (request.idempotency == Idempotency::kIdempotencyKey) return RejectReason::kIdempotencyKey;
  if (!request.within_budget) return RejectReason::kOverBudget;
  if (!(request.work_ms > 0)) return RejectReason::kUnknownWork;
  if (!(request.priority_weight >= options.min_weight_per_work * request.work_ms))
    return RejectReason::kBelowThreshold;
  return std::nullopt;
}

int MaxAttempts(Idempotency idempotency) {
  return idempotency == Idempotency::kIdempotent ? kMaxAttempts : 1;
}

Span EstimateResponseTime(const Options& options, std::uint64_t wait_ms, double work_ms) {
  const auto work = std::chrono::duration<double, std::milli>(work_ms);
  return 2 * options.propagation_time + Milliseconds(wait_ms) + std::chrono::duration_cast<Span>(work);
}

}  // namespace load_balancer::overflow
