// SPDX-License-Identifier: Apache-2.0
#include "overflow/rules.h"

#include <array>

namespace load_balancer::overflow {
namespace {

constexpr std::array<std::string_view, kWhys> kNames{
    "may have run", "keyed class",    "already spilled", "over its budget", "work unknown", "little worth",
    "not over",     "no time for it", "no share left",   "no neighbour",    "all attempted"};

}  // namespace

std::string_view Name(Why why) { return kNames.at(static_cast<std::size_t>(why)); }

std::optional<Why> Forbids(const Refused& request, const Options& options) {
  if (request.may_have_run) return Why::kMayHaveRun;
  if (request.spilled) return Why::kSpilled;
  if (request.idempotency == Idempotency::kIdempotencyKey) return Why::kKeyed;
  if (!request.within_budget) return Why::kOverBudget;
  if (!(request.work_ms > 0)) return Why::kNoWork;
  if (!(request.priority_weight >= options.least_worth_per_work * request.work_ms)) return Why::kLittleWorth;
  return std::nullopt;
}

int MostAttempts(Idempotency idempotency) {
  return idempotency == Idempotency::kIdempotent ? kMostAttempts : 1;
}

Span Needs(const Options& options, std::uint64_t wait_ms, double work_ms) {
  const auto work = std::chrono::duration<double, std::milli>(work_ms);
  return 2 * options.way + Milliseconds(wait_ms) + std::chrono::duration_cast<Span>(work);
}

}  // namespace load_balancer::overflow
