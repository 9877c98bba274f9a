// SPDX-License-Identifier: Apache-2.0
//
// Passes each event to the components that handle it, then performs the tasks that are due. In the usual case
// servers are ejected by gRFC A50 outlier detection, and a request goes to the server in service with the
// least hinted work in flight from this proxy.
#include "load_balancer/balancer.h"

#include <algorithm>
#include <utility>

#include "policy/list_poller.h"
#include "policy/request_lifecycle.h"

namespace load_balancer {
namespace {

constexpr Duration kSampleInterval{100};  // interval at which rates are sampled
constexpr std::uint64_t kTimerToken = 0;  // token of the only timer

}  // namespace

class Balancer::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed) : context_(std::move(settings), seed) {
    requests_.HandleNewSettings(NewSettings{});
  }

  void Handle(TimePoint now, const Event& event, std::vector<Action>* actions) {
    context_.BeginEvent(now, actions);
    // The event is handled before due tasks, as a new endpoint list may forbid a due dispatch.
    std::visit([this](const auto& concrete_event) { HandleEvent(concrete_event); }, event);
    HandleDue();
    requests_.DispatchQueued();
    SetTimerIfEarlier();
    context_.EndEvent();
  }

  LearnedRates learned_rates() const {
    return {traffic_.responses_per_ms(), traffic_.work_served_per_ms(), slow_start_.warm_work_per_ms(),
            traffic_.time_per_work()};
  }

  SpareCapacity EstimateSpareCapacity(TimePoint now) const { return requests_.EstimateSpareCapacity(now); }

 private:
  void HandleEvent(const RequestReceived& event) { requests_.Receive(event); }
  void HandleEvent(const BodyReceived& event) { requests_.CompleteBody(event); }
  void HandleEvent(const StreamStarted& event) { requests_.StartStream(event); }
  void HandleEvent(const ClientGone& event) { requests_.Abandon(event); }
  void HandleEvent(const AttemptEnded& event) { requests_.EndAttempt(event); }
  void HandleEvent(const ServerConcurrencyLimit& event) { requests_.SetConcurrencyLimit(event); }
  void HandleEvent(const OverflowShare& event) { requests_.SetOverflowShare(event); }
  void HandleEvent(const ProcessCount& event) { slow_start_.SetProcesses(event.processes); }
  void HandleEvent(const PeerEjection& event) { servers_.ApplyPeerEjection(event); }
  void HandleEvent(const RestoredEjection& event) { servers_.RestoreEjection(event); }
  void HandleEvent(const TimerFired& /*event*/) {}

  void HandleEvent(const ListUpdate& event) {
    poller_.HandleUpdate(event.kind);
    if (event.kind == ListKind::kFailed) return;
    servers_.ApplyUpdate(event);
    requests_.NotifyCapacityChange();
  }

  void HandleEvent(const StartMaintenance& event) {
    if (servers_.StartMaintenance(event.server)) requests_.NotifyCapacityChange();
  }

  void HandleEvent(const EndMaintenance& event) {
    if (servers_.EndMaintenance(event.server)) requests_.NotifyCapacityChange();
  }

  void HandleEvent(const NewSettings& event) {
    context_.ReplaceSettings(*event.settings);
    requests_.HandleNewSettings(event);
    servers_.HandleNewSettings();
  }

  // Ignores the rates of a former process if this process has measured its own, or if the former process has
  // served no request.
  void HandleEvent(const LearnedRates& event) {
    if (traffic_.has_attempts() || event.responses_per_ms <= 0) return;
    traffic_.Restore(event);
    slow_start_.RestoreWarmRate(event.warm_work_per_ms);
  }

  void HandleEvent(const PeerAffinity& event) {
    const Server* server = servers_.Find(event.server);
    if (!context_.settings().session_affinity || !server) return;
    const ServerIndex index = servers_.IndexOf(*server);
    if (affinity_.IsWarm(event.key, index, context_.now())) return;
    affinity_.Record(event.key, index, std::min(context_.now(), event.sent_at));
  }

  void HandleDue() {
    const TimePoint now = context_.now();
    if (now >= timer_at_) timer_at_ = kNever;
    if (now >= servers_.next_return() && servers_.ReturnDueServers()) requests_.NotifyCapacityChange();
    if (now >= detection_interval_end_) {
      detection_interval_end_ = now + servers_.detection_interval();
      servers_.EndDetectionInterval();
    }
    if (now >= next_sample_) Sample();
    poller_.PollIfDue();
    requests_.HandleDue();
  }

  // Updates the measured rates and everything that depends on them.
  void Sample() {
    const TimePoint now = context_.now();
    const double elapsed = (now - last_sample_).count();
    servers_.RefreshCapacity();
    if (last_sample_ != TimePoint{} && elapsed > 0) {
      traffic_.Sample(elapsed, now);
      slow_start_.UpdateWarmRate(Duration(elapsed));
      const double mean_work = std::max(1e-9, traffic_.request_work().mean());
      servers_.AdaptToRate(traffic_.work_requested_per_ms() * 1000 / mean_work);
    }
    requests_.RefillQuotas(elapsed);
    last_sample_ = now;
    next_sample_ = now + kSampleInterval;
    requests_.NotifyCapacityChange();  // the capacity of servers in slow start grows with time
  }

  void SetTimerIfEarlier() {
    TimePoint next = std::min(poller_.next_poll(), requests_.next_queue_expiry());
    if (requests_.has_queued()) next = std::min({next, next_sample_, requests_.next_overdue_attempt()});
    if (next >= timer_at_) return;
    timer_at_ = next;
    context_.Emit(SetTimer{next, kTimerToken});
  }

  Context context_;
  ServerList servers_{context_};
  TrafficStatistics traffic_;
  SlowStart slow_start_{context_, servers_, traffic_};
  SessionAffinity affinity_;
  RequestLifecycle requests_{context_, servers_, traffic_, slow_start_, affinity_};
  ListPoller poller_{context_};
  TimePoint timer_at_ = kNever;
  TimePoint detection_interval_end_{};
  TimePoint last_sample_{};
  TimePoint next_sample_{};
};

Balancer::Balancer(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::Handle(TimePoint now, const Event& event, std::vector<Action>* actions) {
  impl_->Handle(now, event, actions);
}

LearnedRates Balancer::learned_rates() const { return impl_->learned_rates(); }

SpareCapacity Balancer::EstimateSpareCapacity(TimePoint now) const {
  return impl_->EstimateSpareCapacity(now);
}

}  // namespace load_balancer
