// SPDX-License-Identifier: Apache-2.0
#include "policy/traffic_statistics.h"

#include <algorithm>
#include <utility>

namespace load_balancer {
namespace {

constexpr int kEnoughAttempts = 10;
constexpr Duration kWorkRateMemory{8000};  // averaging time of the rates of work
constexpr Duration kResponseRateMemory{
    1500};                        // averaging time of the rate of responses, which sets the limit in flight
constexpr Duration kPause{1000};  // without arrivals for this long, the response rate tells nothing
constexpr double kNewProxyGain = 0.7;      // weight of a sample by which the rate of a new proxy rises
constexpr double kCrowdingGain = 0.1;      // weight of one response
constexpr Duration kCrowdingMemory{8000};  // decay time
constexpr double kMaxCrowding = 16;        // one response counts as no slower than this
constexpr double kTimePerWorkGain = 0.01;  // weight of a slower response
constexpr double kFasterGainFactor = 10;   // a faster response counts this much more
constexpr double kFindingFactor = 5;       // a finding counts as much as so many faster responses of time 0
constexpr int kMinTimePerWorkVotes = 4;    // large requests; one slow response says little
constexpr int kFirmTimePerWorkVotes = 10;  // up to here votes are averaged evenly

}  // namespace

void TrafficStatistics::Restore(const LearnedRates& rates) {
  if (has_attempts()) return;
  responses_per_ms_ = rates.responses_per_ms;
  work_served_per_ms_ = rates.work_per_ms;
  response_rate_samples_ = kEnoughAttempts;
  samples_ = kEnoughAttempts;
  if (rates.time_per_work > 0) {
    time_per_work_ = rates.time_per_work;
    time_per_work_votes_ = kMinTimePerWorkVotes;
  }
}

void TrafficStatistics::RecordArrival(const Request& request) {
  latency_objective_.Add(request.rules.latency_objective.count());
  const TimePoint previous_arrival = std::exchange(last_arrival_, request.arrived);
  if (request.arrived - previous_arrival > kPause) arrivals_since_ = request.arrived;
  work_requested_ += request.work;
}

void TrafficStatistics::RecordAttempt(const Request& request, double took, bool ok, bool is_timed) {
  attempts_ = std::min(kEnoughAttempts, attempts_ + 1);
  if (ok) {
    work_served_ += request.work;
    ++responses_;
  }
  const double objective = request.rules.latency_objective.count();
  if (is_timed && time_per_work_ > 0 && took > 0) {
    const double uncrowded =
        std::min(time_per_work_ * std::max(request.work, request_work_.mean() / 2), 0.5 * objective);
    crowding_ += kCrowdingGain * (std::min(took / uncrowded, kMaxCrowding) - crowding_);
    latency_objective_used_ +=
        kCrowdingGain * (std::min(took / objective, kMaxCrowding) - latency_objective_used_);
  }
  if (!ok || request.work < request_work_.mean() || !(took > 0)) return;  // `took` may be no number
  const double observed = took / request.work;
  const double gain = observed < time_per_work_ ? kFasterGainFactor * kTimePerWorkGain : kTimePerWorkGain;
  ++time_per_work_votes_;
  const bool is_firm = time_per_work_votes_ > kFirmTimePerWorkVotes;
  time_per_work_ += (is_firm ? gain : 1.0 / time_per_work_votes_) * (observed - time_per_work_);
}

void TrafficStatistics::Sample(double elapsed, TimePoint now) {
  // A new proxy counts from its first request, and one without arrivals for a while, as when it drains, from
  // the next.
  const Duration requested_for = std::min(Duration(elapsed), now - arrivals_since_);
  if (requested_for.count() > 0 && now - last_arrival_ <= kPause)
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

// A new proxy follows a rising rate at once: its limit in flight starts from almost nothing.
void TrafficStatistics::UpdateResponseRate(double rate, Duration elapsed) {
  const bool rises_at_new_proxy = response_rate_samples_ < kEnoughAttempts && rate > responses_per_ms_;
  const double min_gain = rises_at_new_proxy ? kNewProxyGain : 0;
  ++response_rate_samples_;
  const double gain =
      std::min(1.0, std::max({elapsed / kResponseRateMemory, 1.0 / response_rate_samples_, min_gain}));
  responses_per_ms_ += gain * (rate - responses_per_ms_);
}

void TrafficStatistics::WeakenTimePerWork() { time_per_work_ *= 1 - kFindingFactor * kTimePerWorkGain; }

bool TrafficStatistics::is_time_per_work_known() const {
  return time_per_work_votes_ >= kMinTimePerWorkVotes;
}

bool TrafficStatistics::has_enough_attempts() const { return attempts_ >= kEnoughAttempts; }

}  // namespace load_balancer
