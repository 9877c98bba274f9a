// SPDX-License-Identifier: Apache-2.0
#include "policy/traffic_statistics.h"

#include <algorithm>
#include <utility>

namespace load_balancer {
namespace {

// Number of ended attempts after which the rate of work served is used instead of the rate of work requested.
constexpr int kEnoughAttempts = 10;
// Averaging time of the rates of work.
constexpr Duration kWorkRateMemory{8000};
// Averaging time of the rate of responses, which determines the limit on attempts in flight.
constexpr Duration kResponseRateMemory{1500};
// If no request arrives for longer than this, the response rate is not updated, because a lack of
// responses then does not indicate slow servers.
constexpr Duration kArrivalPause{1000};
// Weight of a sample that raises the response rate of a new proxy.
constexpr double kNewProxyGain = 0.7;
// Weight of one response in crowding_ and in latency_objective_used_.
constexpr double kCrowdingGain = 0.1;
// Decay time of crowding_ and latency_objective_used_.
constexpr Duration kCrowdingMemory{8000};
// Largest ratio that one response counts as in these two averages.
constexpr double kMaxCrowding = 16;
// Weight of a response that raises time_per_work.
constexpr double kTimePerWorkGain = 0.01;
// Ratio of the weight of a response that lowers time_per_work to kTimePerWorkGain.
constexpr double kFasterGainFactor = 10;
// ReduceTimePerWork reduces time_per_work by this multiple of kTimePerWorkGain.
constexpr double kReductionFactor = 5;
// Large requests needed for time_per_work, so that it does not depend on one slow response.
constexpr int kMinTimePerWorkSamples = 4;
// Number of first samples of time_per_work that have equal weights.
constexpr int kMaxEvenlyWeightedSamples = 10;

}  // namespace

void TrafficStatistics::Restore(const LearnedRates& rates) {
  if (has_attempts()) return;
  responses_per_ms_ = rates.responses_per_ms;
  work_served_per_ms_ = rates.work_per_ms;
  response_rate_samples_ = kEnoughAttempts;
  samples_ = kEnoughAttempts;
  if (rates.time_per_work > 0) {
    time_per_work_ = rates.time_per_work;
    time_per_work_samples_ = kMinTimePerWorkSamples;
  }
}

void TrafficStatistics::RecordArrival(const Request& request) {
  latency_objective_.Add(request.rules.latency_objective.count());
  const TimePoint previous_arrival = std::exchange(last_arrival_, request.arrived);
  if (request.arrived - previous_arrival > kArrivalPause) arrivals_resumed_at_ = request.arrived;
  work_requested_ += request.work;
}

void TrafficStatistics::RecordAttempt(const Request& request, double took_ms, bool ok,
                                      bool is_latency_sample) {
  attempts_ = std::min(kEnoughAttempts, attempts_ + 1);
  if (ok) {
    work_served_ += request.work;
    ++responses_;
  }
  const double objective = request.rules.latency_objective.count();
  if (is_latency_sample && time_per_work_ > 0 && took_ms > 0) {
    const double uncrowded =
        std::min(time_per_work_ * std::max(request.work, request_work_.mean() / 2), 0.5 * objective);
    crowding_ += kCrowdingGain * (std::min(took_ms / uncrowded, kMaxCrowding) - crowding_);
    latency_objective_used_ +=
        kCrowdingGain * (std::min(took_ms / objective, kMaxCrowding) - latency_objective_used_);
  }
  if (!ok || request.work < request_work_.mean() || !(took_ms > 0)) return;  // `took_ms` may be NaN
  const double observed = took_ms / request.work;
  const double gain = observed < time_per_work_ ? kFasterGainFactor * kTimePerWorkGain : kTimePerWorkGain;
  ++time_per_work_samples_;
  const bool has_many_samples = time_per_work_samples_ > kMaxEvenlyWeightedSamples;
  time_per_work_ += (has_many_samples ? gain : 1.0 / time_per_work_samples_) * (observed - time_per_work_);
}

void TrafficStatistics::Sample(double elapsed, TimePoint now) {
  // The response rate covers only the time since the first request of a new proxy, or since the first request
  // after a pause in arrivals, such as while the proxy drains.
  const Duration requested_for = std::min(Duration(elapsed), now - arrivals_resumed_at_);
  if (requested_for.count() > 0 && now - last_arrival_ <= kArrivalPause)
    UpdateResponseRate(responses_ / requested_for.count(), requested_for);
  const double decay = std::min(1.0, elapsed / kCrowdingMemory.count());
  crowding_ += decay * (1 - crowding_);
  latency_objective_used_ -= decay * latency_objective_used_;
  ++samples_;
  const double gain = std::min(1.0, std::max(elapsed / kWorkRateMemory.count(), 1.0 / samples_));
  work_served_per_ms_ += gain * (work_served_ / elapsed - work_served_per_ms_);
  work_requested_per_ms_ += gain * (work_requested_ / elapsed - work_requested_per_ms_);
  responses_ = 0;
  work_served_ = 0;
  work_requested_ = 0;
}

// A new proxy follows a rising rate quickly, as its limit on attempts in flight starts close to zero.
void TrafficStatistics::UpdateResponseRate(double rate, Duration elapsed) {
  const bool rises_at_new_proxy = response_rate_samples_ < kEnoughAttempts && rate > responses_per_ms_;
  const double min_gain = rises_at_new_proxy ? kNewProxyGain : 0;
  ++response_rate_samples_;
  const double gain =
      std::min(1.0, std::max({elapsed / kResponseRateMemory, 1.0 / response_rate_samples_, min_gain}));
  responses_per_ms_ += gain * (rate - responses_per_ms_);
}

void TrafficStatistics::ReduceTimePerWork() { time_per_work_ *= 1 - kReductionFactor * kTimePerWorkGain; }

bool TrafficStatistics::is_time_per_work_known() const {
  return time_per_work_samples_ >= kMinTimePerWorkSamples;
}

bool TrafficStatistics::has_enough_attempts() const { return attempts_ >= kEnoughAttempts; }

}  // namespace load_balancer
