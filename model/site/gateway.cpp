// SPDX-License-Identifier: Apache-2.0
#include "model/site/gateway.h"

#include <algorithm>
#include <string>
#include <tuple>

namespace load_balancer::model {
namespace {

// A timer that comes a moment early by rounding would not be asked for again.
constexpr Span kRounding = std::chrono::microseconds(1);

Span SpanOf(Duration duration) { return std::chrono::duration_cast<Span>(duration); }
Time TimeOf(TimePoint point) { return Time(SpanOf(point.time_since_epoch())) + kRounding; }

}  // namespace

TimePoint GatewayProgram::PointOf(Time time) { return TimePoint(Duration(time.time_since_epoch())); }

GatewayProgram::GatewayProgram(Host& host, const FleetSetup& setup, const GatewayOptions& options,
                               Ledger& ledger)
    : FleetProgram(host, setup),
      host_(host),
      options_(options),
      ledger_(ledger),
      balancer_(options.settings, options.seed),
      last_(static_cast<RequestId>(host.TrueTime().count())) {
  ListUpdate list{ListKind::kFull, {}};
  for (ServerId server = 1; server <= options_.servers.size(); ++server) {
    ServerEntry entry;
    entry.server = server;
    list.entries.push_back(entry);
  }
  Feed(std::move(list));
}

void GatewayProgram::Feed(Event event) {
  events_.push_back(std::move(event));
  if (std::exchange(handling_, true)) return;
  std::vector<Action> actions;
  while (!events_.empty()) {
    const Event next = std::move(events_.front());
    events_.pop_front();
    actions.clear();
    balancer_.Handle(PointOf(host_.Now()), next, &actions);
    for (const Action& action : actions) std::visit([this](const auto& one) { Do(one); }, action);
  }
  handling_ = false;
}

Time GatewayProgram::Next() const {
  return wakes_.empty() ? FleetProgram::Next() : std::min(FleetProgram::Next(), wakes_.begin()->first);
}

void GatewayProgram::Tick() {
  while (!wakes_.empty() && wakes_.begin()->first <= host_.Now()) {
    const Wake wake = wakes_.begin()->second;
    wakes_.erase(wakes_.begin());
    OnWake(wake);
  }
  if (FleetProgram::Next() <= host_.Now()) FleetProgram::Tick();
}

void GatewayProgram::OnWake(const Wake& wake) {
  if (wake.kind == Wake::Kind::kModule) return Feed(TimerFired{wake.id});
  if (wake.kind == Wake::Kind::kAttempt) return OnEnded(wake.id, wake.attempt, Outcome::kTimeout);
  const Request* request = Find(wake.id);
  if (!request || request->answered) return;
  Finish(wake.id, Ending::kExpired);
  OnGone(wake.id, *request);
  Feed(ClientGone{wake.id});
  ForgetIfOver(wake.id);
}

void GatewayProgram::ReceiveOther(const Packet& packet) {
  if (const auto* ask = std::any_cast<ClientAsk>(packet.content.get())) return OnAsk(packet, *ask);
  if (const auto* answer = std::any_cast<ServerAnswer>(packet.content.get()))
    return OnEnded(answer->request, answer->attempt, answer->outcome);
  OnPacket(packet);
}

void GatewayProgram::OnAsk(const Packet& packet, const ClientAsk& ask) {
  if (!ledger_.First(packet.from, host_.Address(), ask.call, ask.tried)) return;
  const RequestId id = ++last_;
  Request& request = requests_[id];
  request.ask = ask;
  request.client = packet.from;
  request.came = host_.Now();
  request.due = request.came + ask.left;
  RequestReceived& received = request.received;
  received.request = id;
  received.due = PointOf(request.due);
  received.request_class = ask.request_class;
  received.tenant = ask.tenant;
  received.key = ask.key;
  received.has_hint = true;
  received.client_retry = ask.tried > 0;
  received.work_ms = ask.work_ms;
  if (!OnArrival(id, request)) return ForgetIfOver(id);
  wakes_.emplace(request.due, Wake{Wake::Kind::kDue, id, 0});
  Feed(RequestReceived(received));
}

void GatewayProgram::Do(const Dispatch& action) {
  const auto found = requests_.find(action.request);
  const int attempt = found == requests_.end() ? 0 : found->second.attempts++;
  if (found == requests_.end() || found->second.answered || found->second.attempt_out ||
      host_.Now() >= found->second.due || attempt >= options_.settings.max_attempts) {
    const bool is_request_finished = found == requests_.end() || found->second.answered;
    return Feed(AttemptEnded{
        action.request, attempt, action.server, is_request_finished, true, Outcome::kNotSent, {}});
  }
  Request& request = found->second;
  request.attempt_out = true;
  request.sent_at = host_.Now();
  Span timeout = request.due - host_.Now();
  if (action.timeout.count() > 0) timeout = std::min(timeout, SpanOf(action.timeout));
  out_[action.request] = {attempt, action.server};
  wakes_.emplace(host_.Now() + timeout, Wake{Wake::Kind::kAttempt, action.request, attempt});
  host_.Send(
      options_.servers.at(action.server - 1),
      ServerAsk{request.ask.call, request.ask.tried, action.request, attempt, request.ask.work_ms, timeout},
      kAskBytes);
}

// By an answer or a time-out: whichever is first.
void GatewayProgram::OnEnded(RequestId id, int attempt, Outcome outcome) {
  const auto out = out_.find(id);
  if (out == out_.end() || out->second.first != attempt) return;
  const ServerId server = out->second.second;
  out_.erase(out);
  Request& request = requests_.at(id);
  request.attempt_out = false;
  request.may_have_run |= outcome != Outcome::kOverloaded;
  const Duration took(host_.Now() - request.sent_at);
  if (outcome == Outcome::kOk) Finish(id, Ending::kServed);
  const bool is_request_finished = requests_.at(id).answered;
  Feed(AttemptEnded{id, attempt, server, is_request_finished, true, outcome, took});
  ForgetIfOver(id);
}

void GatewayProgram::Do(const Reject& action) {
  const auto found = requests_.find(action.request);
  if (found == requests_.end() || found->second.answered) return;
  if (OnRefused(action.request, found->second, SpanOf(action.retry_after))) return;
  Finish(action.request, Ending::kRefused, SpanOf(action.retry_after));
  ForgetIfOver(action.request);
}

void GatewayProgram::Do(const FailRequest& action) {
  if (const Request* request = Find(action.request); request && !request->answered) {
    Finish(action.request, Ending::kFailed);
    OnFailed(action.request, *request);
  }
  ForgetIfOver(action.request);
}

void GatewayProgram::Do(const SetTimer& action) {
  wakes_.emplace(std::max(TimeOf(action.at), host_.Now()), Wake{Wake::Kind::kModule, action.token, 0});
}

void GatewayProgram::Do(const Ejected& action) {
  const double left = (action.until - PointOf(host_.Now())).count();
  site().Announce(fleet::Ejection{std::to_string(action.server),
                                  host_.Wall() + static_cast<fleet::UnixMs>(std::max(0.0, left)),
                                  action.failures, action.attempts});
}

void GatewayProgram::Finish(RequestId id, Ending ending, Span retry_after) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || std::exchange(found->second.answered, true)) return;
  const auto& [ask, spilled] = std::tie(found->second.ask, found->second.received.is_overflow);
  if (!spilled) ledger_.Answered(ask.call, ask.tried);
  host_.Send(found->second.client,
             ClientAnswer{ask.call, ask.tried, ending, retry_after, spilled ? EstimateText() : ""},
             kAnswerBytes);
}

GatewayProgram::Request* GatewayProgram::Find(RequestId id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

std::size_t GatewayProgram::Overdue(Time by) const {
  return static_cast<std::size_t>(std::count_if(requests_.begin(), requests_.end(), [by](const auto& each) {
    return !each.second.answered && each.second.due < by;
  }));
}

void GatewayProgram::ForgetIfOver(RequestId id) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || !found->second.answered || found->second.attempt_out) return;
  requests_.erase(found);
  OnForgotten(id);
}

}  // namespace load_balancer::model
