// SPDX-License-Identifier: Apache-2.0
#include "policy/request_lifecycle.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <string>
#include <utility>

#include "policy/attempt_timeout.h"
#include "policy/reindex.h"

namespace load_balancer {
namespace {

// DispatchQueued stops once it has failed to dispatch this many queued requests.
constexpr int kMaxFailedDispatches = 8;
// Largest hinted work, in ms. A larger hint is reduced to this value.
constexpr double kMaxWork = 1e6;
// Time after a rejection for which no spare capacity is reported.
constexpr Duration kRecentRejection{1000};
// Smallest response rate that the estimate of the queueing time uses, in responses per ms.
constexpr double kMinRate = 1e-3;
// Minimum time that any request may spend in the queue, as a share of the latency objective.
constexpr double kMinQueueShare = 0.25;
// A rejection is sent at least this many ticks before the client's deadline, so that it arrives in time.
constexpr int kReplyTicks = 2;
// Minimum time that any retry may spend in the queue, in ticks.
constexpr int kRetryTicks = 4;

}  // namespace

RequestLifecycle::RequestLifecycle(Context& context, ServerList& servers, TrafficStatistics& traffic,
                                   SlowStart& slow_start, SessionAffinity& affinity)
    : context_(context),
      servers_(servers),
      traffic_(traffic),
      slow_start_(slow_start),
      affinity_(affinity),
      picker_(context, servers, slow_start, traffic, affinity),
      admission_(context, servers, traffic) {}

// ---- arrival ------------------------------------------------------------------------------------------

void RequestLifecycle::Receive(const RequestReceived& received) {
  if (requests_.contains(received.request)) return;
  const std::optional<RequestRules> rules = RulesFor(received);
  // The rules of an unknown class are not known. The request has not run, so it may be rejected.
  if (!rules) return context_.Emit(Reject{received.request, Duration(0)});
  Request request = NewRequest(received, *rules);
  ClassStatistics& statistics = *request.statistics;
  const Duration objective =
      request.rules.latency_objective - admission_.ElapsedBeforeArrival(received, request);
  SetWork(received, &request);
  traffic_.RecordArrival(request);
  admission_.SetValue(received, objective, &request);
  if (request.value <= 0 || admission_.ShouldShed(request)) return FinishWithRetryAfter(request);
  const MeanAndDeviation& latency = statistics.latency;
  const Duration max_useful_wait = objective - Duration(latency.mean() + latency.deviation());
  const Duration max_queued = std::max(max_useful_wait, request.rules.latency_objective * kMinQueueShare);
  request.reject_at =
      std::min(request.due - context_.settings().tick * kReplyTicks, context_.now() + max_queued);
  if (request.is_overflow) request.reject_at = context_.now();
  Request& stored = requests_.emplace(request.id, std::move(request)).first->second;
  TryDispatch(stored);
  EraseIfComplete(stored);
}

bool RequestLifecycle::HasClass(int request_class) const {
  return request_class >= 0 && request_class < static_cast<int>(classes_.size());
}

// Returns the rules that apply to the request, or nothing if its class is unknown.
std::optional<RequestRules> RequestLifecycle::RulesFor(const RequestReceived& received) const {
  if (received.previous_rules) return received.previous_rules;
  if (!HasClass(received.request_class)) return std::nullopt;
  const Settings& settings = context_.settings();
  return RequestRules{settings.classes[received.request_class], settings.max_attempts};
}

// Returns the statistics of the class. A class that the current settings do not have starts without any.
std::shared_ptr<ClassStatistics> RequestLifecycle::StatisticsFor(int request_class) const {
  return HasClass(request_class) ? classes_[request_class] : std::make_shared<ClassStatistics>();
}

Request RequestLifecycle::NewRequest(const RequestReceived& received, const RequestRules& rules) const {
  Request request;
  request.id = received.request;
  request.key = received.key;
  request.is_body_pending = received.is_body_pending;
  request.is_overflow = received.is_overflow;
  request.arrived = context_.now();
  request.due = received.due;
  request.rules = rules.class_settings;
  request.statistics = StatisticsFor(received.request_class);
  request.max_attempts = received.is_overflow ? 1 : rules.max_attempts;
  return request;
}

void RequestLifecycle::SetWork(const RequestReceived& received, Request* request) {
  const MeanAndDeviation& request_work = traffic_.request_work();
  const bool is_hinted = received.has_hint && std::isfinite(received.work_ms) && received.work_ms > 0;
  const bool is_first = request_work.samples() == 0;
  const double mean = is_first ? 1 : request_work.mean();
  request->work = is_hinted ? std::min(received.work_ms, kMaxWork) : mean;
  if (!is_hinted && !is_first) return;
  traffic_.RecordHintedWork(request->work);
  request->statistics->work.Add(request->work);
}

// The latency of a request and of its attempt counts from the last byte of the request's body.
void RequestLifecycle::CompleteBody(const BodyReceived& body) {
  Request* request = Find(body.request);
  if (!request) return;
  const bool was_queued = request->is_queued;
  queue_.Remove(*request);  // the position in the queue depends on the time of arrival
  request->is_body_pending = false;
  request->arrived = context_.now();
  request->due = body.due;
  if (was_queued) queue_.Add(*request);
  if (!request->HasOutstandingAttempt()) return;
  LastServer(*request).load.MarkBodyComplete(context_.now());
  request->attempts.back().sent_at = context_.now();
  StartAwaitingResponse(*request);
}

void RequestLifecycle::Abandon(const ClientGone& gone) {
  Request* request = Find(gone.request);
  if (!request) return;
  request->is_finished = true;
  EraseIfComplete(*request);
}

// ---- dispatch -----------------------------------------------------------------------------------------

bool RequestLifecycle::HasCapacity(const Request& request) const {
  const double spare = admission_.Limit() - static_cast<double>(in_flight_.size());
  if (!request.is_overflow) return spare > 0;
  return queue_.empty() && in_flight_.overflow() + 1 <= max_overflow_fraction_ * spare;
}

// Sends, queues or finishes the request; returns whether it was sent.
bool RequestLifecycle::TryDispatch(Request& request) {
  const Permission permission = PermissionFor(request, context_.now(), servers_);
  const bool may_send = permission.may_dispatch && HasCapacity(request);
  Server* server = may_send ? picker_.Pick(request, permission.first_run_server) : nullptr;
  if (server) {
    queue_.Remove(request);
    Send(request, *server, permission);
  } else if (!permission.may_dispatch || context_.now() >= request.reject_at) {
    FinishWithRetryAfter(request);
  } else if (!request.is_queued) {
    queue_.Add(request);
  }
  return server;
}

void RequestLifecycle::DispatchQueued() {
  if (!std::exchange(has_capacity_changed_, false)) return;
  int failed_dispatches = 0;
  std::optional<AdmissionQueue::Position> position = queue_.First();
  while (position && failed_dispatches < kMaxFailedDispatches) {
    const std::optional<AdmissionQueue::Position> next = queue_.After(*position);
    Request& request = requests_.at(position->request);
    if (!TryDispatch(request)) ++failed_dispatches;
    EraseIfComplete(request);
    position = next;
  }
}

void RequestLifecycle::Send(Request& request, Server& server, const Permission& permission) {
  const TimePoint now = context_.now();
  if (request.attempts.empty()) {
    retry_budget_.RecordFirstAttempt();
  } else {
    retry_budget_.RecordRetry();
  }
  const Duration timeout = AttemptTimeout(request, server, retry_budget_.HasToken(), now);
  const Duration write_timeout = WriteTimeout(request, permission, now);
  const ServerIndex index = servers_.IndexOf(server);
  server.load.Add(request.work, now);
  if (request.is_overflow) in_flight_.AddOverflow();
  slow_start_.RecordSend(server, request.work);
  if (context_.settings().session_affinity && request.key != 0) affinity_.Record(request.key, index, now);
  request.attempts.push_back({.server = index, .sent_at = now});
  if (!request.is_body_pending) StartAwaitingResponse(request);
  context_.Emit(Dispatch{request.id, server.entry.server, timeout, write_timeout});
}

// Adds the last attempt to the attempts in flight, once the server has received the whole request.
void RequestLifecycle::StartAwaitingResponse(Request& request) {
  const ClassStatistics& statistics = *request.statistics;
  request.attempts.back().overdue_at =
      statistics.has_enough_samples() ? context_.now() + statistics.LatencyUpperBound(request.work) : kNever;
  if (!request.is_overflow) in_flight_.Add(request);
}

// ---- attempts -----------------------------------------------------------------------------------------

// An attempt is no longer in flight once its response has begun. The rest of the response may take long
// because of a slow client, without work for the server.
void RequestLifecycle::StartStream(const StreamStarted& stream) {
  Request* request = Find(stream.request);
  if (!request) return;
  request->is_streaming = true;
  request->response_began = context_.now();
  if (!FindAttempt(request, stream.attempt)) return;
  if (in_flight_.Remove(*request, stream.attempt)) NotifyCapacityChange();
}

void RequestLifecycle::EndAttempt(const AttemptEnded& ended) {
  Request* request = Find(ended.request);
  Attempt* attempt = FindAttempt(request, ended.attempt);
  if (!attempt || !attempt->is_outstanding) return;
  const bool is_overloaded = ended.outcome == Outcome::kOverloaded;
  attempt->is_outstanding = false;
  attempt->is_unreached = ended.outcome == Outcome::kConnectFailed || ended.outcome == Outcome::kNotSent;
  attempt->may_have_run = !is_overloaded && !attempt->is_unreached;
  in_flight_.Remove(*request, ended.attempt);
  RecordOutcome(*request, ended, servers_.at(attempt->server));
  NotifyCapacityChange();
  if (ended.is_request_finished) request->is_finished = true;
  request->is_replayable = ended.is_replayable;
  if (!request->is_finished && !request->HasOutstandingAttempt() && !request->is_queued)
    Retry(*request, attempt->may_have_run || is_overloaded);
  EraseIfComplete(*request);
}

// Retries the request if this is permitted; otherwise finishes it. A retry that adds load needs a token of
// the retry budget.
void RequestLifecycle::Retry(Request& request, bool adds_load) {
  const bool has_budget = !adds_load || retry_budget_.HasToken();
  if (!PermissionFor(request, context_.now(), servers_).may_dispatch || !has_budget)
    return Finish(request, Duration(0));
  const Duration tick = context_.settings().tick;
  const TimePoint last_reply_at = request.due - tick * kReplyTicks;
  request.reject_at =
      std::max(request.reject_at, std::min(last_reply_at, context_.now() + tick * kRetryTicks));
  TryDispatch(request);
}

void RequestLifecycle::RecordOutcome(const Request& request, const AttemptEnded& ended, Server& server) {
  const TimePoint now = context_.now();
  const Outcome outcome = ended.outcome;
  server.load.Remove(request.work, outcome != Outcome::kTimeout, now);
  if (request.is_overflow) in_flight_.RemoveOverflow();
  const bool is_uninformative =
      outcome == Outcome::kCancelled || outcome == Outcome::kNotSent || outcome == Outcome::kUnknown;
  if (is_uninformative) return;
  const bool ok = outcome == Outcome::kOk;
  const Duration latency_bound = request.statistics->LatencyUpperBound(request.work);
  const double took_ms = (ok ? ended.took : std::min(ended.took, latency_bound)).count();
  const TimePoint responded_at = request.is_streaming ? request.response_began : now;
  const bool is_in_time = ok && responded_at <= request.arrived + request.rules.latency_objective;
  picker_.RecordOutcome(request, server, is_in_time, ok);
  // A time-out counts as a response time if the server has sent no response since the attempt began: requests
  // of this class then take at least that long. If the server has responded to other requests, the response
  // of this attempt was probably lost on the network, so its time-out does not measure the server's speed.
  const bool is_silent = server.load.silent_since() <= request.attempts[ended.attempt].sent_at;
  const bool is_latency_sample = ok || (outcome == Outcome::kTimeout && is_silent);
  if (is_latency_sample && std::isfinite(took_ms) && took_ms >= 0)
    RecordResponseTime(request, took_ms, server);
  traffic_.RecordAttempt(request, took_ms, ok, is_latency_sample);
  servers_.RecordOutcome(server, ok);
}

void RequestLifecycle::RecordResponseTime(const Request& request, double took_ms, Server& server) {
  MeanAndDeviation& latency = request.statistics->latency;
  const double scaled = took_ms / request.statistics->LatencyScale(request.work);
  latency.Add(scaled);
  server.slowness.Record(scaled / std::max(latency.mean(), 1e-9), context_.now());
}

// ---- the end of a request -----------------------------------------------------------------------------

void RequestLifecycle::HandleDue() {
  if (in_flight_.RemoveOverdue(context_.now())) NotifyCapacityChange();
  while (const std::optional<RequestId> expired = queue_.TakeExpired(context_.now())) {
    Request* request = Find(*expired);
    if (!request) continue;
    if (request->is_queued && context_.now() >= request->reject_at) FinishWithRetryAfter(*request);
    EraseIfComplete(*request);
  }
}

// Finishes a request that was not served in time. A client's retry of such a request would be late as well
// and would displace a request that can be in time. If clients obey Retry-After, they are therefore asked to
// wait for as long as they would otherwise retry.
void RequestLifecycle::FinishWithRetryAfter(Request& request) {
  const Duration retry_after = std::min(context_.settings().max_retry_after, request.rules.deadline);
  Finish(request, request.is_overflow ? Duration(0) : retry_after);
}

void RequestLifecycle::Finish(Request& request, Duration retry_after) {
  const bool may_reject = PermissionFor(request, context_.now(), servers_).may_reject;
  const bool was_sent = !request.attempts.empty();
  const std::string reason =
      was_sent ? "last sent to server " + std::to_string(LastServer(request).entry.server) : "not sent";
  context_.LogLine(LogTopic::kFinalResponse, may_reject ? "rejecting request: " : "failing request: ", reason,
                   "; ", in_flight_.size(), " in flight, ", queue_.size(), " queued");
  if (may_reject) {
    context_.Emit(Reject{request.id, retry_after});
  } else {
    context_.Emit(FailRequest{request.id});
  }
  request.is_finished = true;
  if (!request.is_overflow && !was_sent) last_rejection_ = context_.now();
}

void RequestLifecycle::EraseIfComplete(Request& request) {
  if (!request.is_finished) return;
  queue_.Remove(request);
  if (!request.HasOutstandingAttempt()) requests_.erase(request.id);
}

Request* RequestLifecycle::Find(RequestId id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

Attempt* RequestLifecycle::FindAttempt(Request* request, int attempt) {
  const bool is_known = request && attempt >= 0 && attempt < static_cast<int>(request->attempts.size());
  return is_known ? &request->attempts[attempt] : nullptr;
}

Server& RequestLifecycle::LastServer(const Request& request) {
  return servers_.at(request.attempts.back().server);
}

// ---- settings and estimates ---------------------------------------------------------------------------

void RequestLifecycle::HandleNewSettings(const NewSettings& change) {
  classes_ = Reindexed(classes_, context_.settings().classes.size(), change.previous_class_indices,
                       std::make_shared<ClassStatistics>);
  admission_.HandleNewSettings(change.previous_tenant_indices);
  NotifyCapacityChange();
}

void RequestLifecycle::SetOverflowShare(const OverflowShare& share) {
  max_overflow_fraction_ = std::clamp(share.max_fraction, 0.0, 1.0);
}

void RequestLifecycle::SetConcurrencyLimit(const ServerConcurrencyLimit& limit) {
  picker_.SetConcurrencyLimit(limit.max_in_flight);
  NotifyCapacityChange();
}

SpareCapacity RequestLifecycle::EstimateSpareCapacity(TimePoint now) const {
  const double limit = admission_.Limit();
  const double response_time = admission_.MaxResponseTime();
  const double spare = limit - static_cast<double>(in_flight_.size()) - in_flight_.overflow();
  if (spare <= 0 || !queue_.empty()) {
    const double rate = std::max(traffic_.responses_per_ms(), kMinRate);
    return {0, 0, Duration(static_cast<double>(queue_.size() + 1) / rate)};
  }
  const bool has_rejected = now - last_rejection_ < kRecentRejection;
  if (response_time <= 0 || servers_.capacity_in_service() <= 0 || has_rejected) return {};
  const double work_per_ms = traffic_.request_work().mean() / response_time;  // per request in flight
  return {spare * work_per_ms, std::max(0.0, spare - std::sqrt(limit)) * work_per_ms, Duration(0)};
}

}  // namespace load_balancer
