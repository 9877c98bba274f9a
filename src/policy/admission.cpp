// SPDX-License-Identifier: Apache-2.0
#include "policy/admission.h"

#include <algorithm>
#include <cmath>

#include "policy/reindex.h"

namespace load_balancer {
namespace {

constexpr double kMaxObjectiveShare = 0.33;  // of the latency objective that an attempt may take, in the mean
constexpr double kChanceDeviations = 1;      // of the number in flight, that are no overload
constexpr double kMaxCrowdedTime = 3;  // time of an attempt, in the mean, over that at uncrowded servers
constexpr double kShedObjectiveShare =
    0.7;  // share of the latency objective that responses take; the rest is spread
constexpr double kShedCrowding = 2.5;       // crowding up to which all is admitted
constexpr double kLowPressure = 0.7;        // of the pressure at which load is shed: a request delays nobody
constexpr double kMaxMinLimit = 4;          // in flight while responses come as fast as ever
constexpr double kMinLimitPerServer = 1.5;  // in flight at a server, of all proxies, that it always bears
constexpr double kQuotaBurstMs = 2000;      // a quota's tokens last this long
constexpr double kRetryElapsedShare = 0.5;  // of what the deadline leaves open, at a client's usual retry
constexpr int kShedExponent = -2;           // of the pressure, in the probability to be admitted
constexpr int kOverQuotaShedExponent = -4;

}  // namespace

double Admission::Limit() const {
  const double per_proxy =
      kMinLimitPerServer * servers_.listed_capacity() / context_.settings().balancer_count;
  const double min_limit = std::max(MinLimit(), per_proxy);
  const double mean = traffic_.responses_per_ms() * MaxResponseTime();
  return std::max(min_limit, mean + kChanceDeviations * std::sqrt(mean));
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
  // The other site has charged the quota for its overflow.
  const bool is_within_quota = received.is_overflow || TakeQuota(received.tenant, received.quota_status);
  request->value =
      rules.priority_weight * (is_within_quota ? 1 : context_.settings().over_quota_priority_share);
  const bool delays_nobody = servers_.is_traffic_sparse() && Pressure() < kLowPressure;
  const bool is_time_known = !delays_nobody && traffic_.is_time_per_work_known();
  const Duration time_alone(is_time_known ? request->work * traffic_.time_per_work() : 0);
  if (time_alone > objective) {
    const bool is_past_deadline = context_.now() + time_alone > request->due;
    request->value *= is_past_deadline ? 0 : rules.late_priority_share;
  }
  if (time_alone > rules.latency_objective) traffic_.WeakenTimePerWork();
}

Duration Admission::ElapsedBeforeArrival(const RequestReceived& received, ClassStatistics& statistics) const {
  if (received.is_body_pending || received.is_overflow) return Duration(0);
  const Duration allowed = received.due - context_.now();
  const bool is_usual = statistics.usual_timeout.Observe(allowed, received.client_retry);
  if (!statistics.usual_timeout.is_established()) return Duration(0);
  const Duration deadline = context_.settings().classes[received.request_class].deadline;
  const Duration max_elapsed = std::max(Duration(0), deadline - allowed);
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

// Bounds what many proxies make servers hold: the more crowded servers are, the less.
double Admission::MinLimit() const {
  return std::clamp(1.5 * kMaxMinLimit / std::max(traffic_.crowding(), 0.1), 1.0, kMaxMinLimit);
}

// 1 where load begins to be shed.
double Admission::Pressure() const {
  return std::max(traffic_.crowding() / kShedCrowding,
                  traffic_.latency_objective_used() / kShedObjectiveShare);
}

// Whether the request is within its tenant's quota, which it uses up.
bool Admission::TakeQuota(int tenant, QuotaStatus status) {
  if (status != QuotaStatus::kUnknown) return status == QuotaStatus::kWithinQuota;
  if (tenant < 0 || tenant >= static_cast<int>(quota_tokens_.size())) return true;
  if (quota_tokens_[tenant] < 1) return false;
  quota_tokens_[tenant] -= 1;
  return true;
}

}  // namespace load_balancer
