// SPDX-License-Identifier: Apache-2.0
#include "policy/admission.h"

#include <algorithm>
#include <cmath>

#include "policy/reindex.h"

namespace load_balancer {
namespace {

// Maximum of MaxResponseTime(), as a fraction of the latency objective.
constexpr double kMaxObjectiveShare = 0.33;
// Maximum of MaxResponseTime(), as a multiple of the response time of servers without queues.
constexpr double kMaxCrowdedTime = 3;
// Number of standard deviations that the limit adds to the mean number in flight, so that random arrivals do
// not count as overload.
constexpr double kAllowedDeviations = 1;
// Load is shed when responses use more than this share of the latency objective. The rest is left for the
// spread of response times.
constexpr double kShedObjectiveShare = 0.7;
// Load is shed when TrafficStatistics::crowding() exceeds this value.
constexpr double kShedCrowding = 2.5;
// While Pressure() is below this value, a request does not delay others.
constexpr double kLowPressure = 0.7;
// The result of MinLimit() while few requests queue at servers, in attempts in flight.
constexpr double kMaxMinLimit = 4;
// Attempts in flight, from all proxies together, that each server can always handle.
constexpr double kMinLimitPerServer = 1.5;
// Time for which an unused quota accumulates, so that a tenant can send a burst.
constexpr double kQuotaBurstMs = 2000;
// For a client's retry with the usual remaining time: the time assumed to have passed before its arrival, as
// a share of the longest time that can have passed.
constexpr double kRetryElapsedShare = 0.5;
// The probability of admission is Pressure() raised to this exponent.
constexpr int kShedExponent = -2;
constexpr int kOverQuotaShedExponent = -4;

}  // namespace

double Admission::Limit() const {
  const double per_proxy =
      kMinLimitPerServer * servers_.listed_capacity() / context_.settings().balancer_count;
  const double min_limit = std::max(MinLimit(), per_proxy);
  const double mean = traffic_.responses_per_ms() * MaxResponseTime();
  return std::max(min_limit, mean + kAllowedDeviations * std::sqrt(mean));
}

double Admission::MaxResponseTime() const {
  const double objective = traffic_.latency_objective().mean();
  const double time_per_work = traffic_.time_per_work();
  const double uncrowded = time_per_work > 0 ? time_per_work * traffic_.request_work().mean() : objective;
  return std::min(kMaxObjectiveShare * objective, kMaxCrowdedTime * uncrowded);
}

bool Admission::ShouldShed(const Request& request) const {
  const double pressure = Pressure();
  if (!servers_.is_traffic_sparse() || pressure <= 1) return false;
  const bool is_over_quota = request.value < request.rules.priority_weight;
  const double admitted = std::pow(pressure, is_over_quota ? kOverQuotaShedExponent : kShedExponent);
  return context_.random().UniformReal() > admitted;
}

void Admission::SetValue(const RequestReceived& received, Duration objective, Request* request) {
  const ClassSettings& rules = request->rules;
  // The site that sent the overflow has already charged the quota.
  const bool is_within_quota = received.is_overflow || ChargeQuota(received.tenant, received.quota_status);
  request->value =
      rules.priority_weight * (is_within_quota ? 1 : context_.settings().over_quota_priority_share);
  const bool is_underloaded = servers_.is_traffic_sparse() && Pressure() < kLowPressure;
  const bool is_time_known = !is_underloaded && traffic_.is_time_per_work_known();
  const Duration service_time(is_time_known ? request->work * traffic_.time_per_work() : 0);
  if (service_time > objective) {
    const bool is_past_deadline = context_.now() + service_time > request->due;
    request->value *= is_past_deadline ? 0 : rules.late_priority_share;
  }
  if (service_time > rules.latency_objective) traffic_.ReduceTimePerWork();
}

Duration Admission::ElapsedBeforeArrival(const RequestReceived& received, const Request& request) const {
  if (received.is_body_pending || received.is_overflow) return Duration(0);
  const Duration remaining = received.due - context_.now();
  UsualTimeout& usual_timeout = request.statistics->usual_timeout;
  const bool is_usual = usual_timeout.Observe(remaining, received.client_retry);
  if (!usual_timeout.is_established()) return Duration(0);
  const Duration max_elapsed = std::max(Duration(0), request.rules.deadline - remaining);
  if (!is_usual) return max_elapsed;
  return received.client_retry ? max_elapsed * kRetryElapsedShare : Duration(0);
}

void Admission::RefillQuotas(double elapsed) {
  const Settings& settings = context_.settings();
  for (std::size_t tenant = 0; tenant < quota_tokens_.size(); ++tenant) {
    const double tokens_per_ms = settings.tenants[tenant].quota_per_s / settings.balancer_count / 1000;
    const double max_tokens = std::max(1.0, tokens_per_ms * kQuotaBurstMs);
    quota_tokens_[tenant] = std::min(max_tokens, quota_tokens_[tenant] + tokens_per_ms * elapsed);
  }
}

void Admission::HandleNewSettings(const std::vector<int>& previous_tenant_indices) {
  quota_tokens_ = Reindexed(quota_tokens_, context_.settings().tenants.size(), previous_tenant_indices,
                            [] { return 1.0; });
}

// Returns the minimum of the limit on attempts in flight. The minimum falls as queues at servers grow, since
// the attempts of many proxies add up at the servers.
double Admission::MinLimit() const {
  return std::clamp(1.5 * kMaxMinLimit / std::max(traffic_.crowding(), 0.1), 1.0, kMaxMinLimit);
}

// Returns the load of the servers, as a multiple of the level at which load is shed.
double Admission::Pressure() const {
  return std::max(traffic_.crowding() / kShedCrowding,
                  traffic_.latency_objective_used() / kShedObjectiveShare);
}

// Returns whether the request is within its tenant's quota, and takes a token from that quota if so.
bool Admission::ChargeQuota(int tenant, QuotaStatus status) {
  if (status != QuotaStatus::kUnknown) return status == QuotaStatus::kWithinQuota;
  if (tenant < 0 || tenant >= static_cast<int>(quota_tokens_.size())) return true;
  if (quota_tokens_[tenant] < 1) return false;
  quota_tokens_[tenant] -= 1;
  return true;
}

}  // namespace load_balancer
