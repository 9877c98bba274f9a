// SPDX-License-Identifier: Apache-2.0
#include "core/requests.h"

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>

#include "core/module_driver.h"
#include "core/server_directory.h"
#include "federation/link.h"
#include "fleet_link/fleet_link.h"

namespace load_balancer::proxy {
namespace {

bool NeverRan(Outcome outcome) {
  return outcome == Outcome::kOverloaded || outcome == Outcome::kConnectFailed ||
         outcome == Outcome::kNotSent;
}

// Sets the indices of the request's class and tenant. The module knows only the current settings, in which
// the names that the request was parsed with may have other indices and rules, or be missing.
void SetClassAndTenant(const ClientRequest& request, const Config& current, RequestReceived* received) {
  received->request_class = request.request_class;
  received->tenant = request.tenant;
  if (request.config.get() == &current) return;
  received->request_class = IndexOf(current.classes, request.class_name());
  received->tenant = IndexOf(current.tenants, request.tenant_name());
  received->previous_rules = request.rules();
}

// Returns the event to count when an attempt has ended in this way, or nothing.
std::optional<EventKind> EventOf(Outcome outcome) {
  switch (outcome) {
    case Outcome::kNotSent:
      return EventKind::kAttemptNotSent;
    case Outcome::kConnectFailed:
      return EventKind::kAttemptUnreached;
    case Outcome::kTimeout:
      return EventKind::kAttemptTimeout;
    case Outcome::kReset:
      return EventKind::kAttemptReset;
    case Outcome::kOverloaded:
      return EventKind::kAttemptDeclined;
    case Outcome::kError:
      return EventKind::kAttemptError;
    default:
      return std::nullopt;
  }
}

// Returns the key of the request's id if it must not run twice, otherwise 0.
RequestIds::Key IdKeyOf(const ClientRequest& request) {
  if (request.rules().class_settings.idempotency == Idempotency::kIdempotent) return 0;
  const auto text = request.message["Req-Id"];
  return RequestIds::KeyOf({text.data(), text.size()});
}

}  // namespace

// Counts an event of the request with the given id.
void Requests::Note(EventKind kind, RequestId id) {
  const PendingRequest* const request = pending_.Find(id);
  const bool is_known = request && request->message;
  const auto text = is_known ? (*request->message)["Req-Id"] : boost::beast::string_view();
  events_.Note(kind, {text.data(), text.size()});
}

RequestId Requests::OnRequest(ClientRequest&& request, const Config& current,
                              std::shared_ptr<Responder>&& responder) {
  const RequestId id = pending_.NextId();
  const ModuleClock& clock = module_.clock();
  RequestReceived received;
  received.request = id;
  received.due = clock.At(request.due);
  SetClassAndTenant(request, current, &received);
  received.key = request.key;
  received.has_hint = request.has_hint;
  received.client_retry = request.client_retry;
  received.work_ms = request.work_ms;
  received.is_body_pending = request.body != nullptr;
  PendingRequest pending;
  pending.id_key = IdKeyOf(request);
  if (pending.id_key != 0 && !ids_.Claim(pending.id_key, request.due)) {
    RefuseRepeated(request, *responder);
    return id;
  }
  if (!federation_.Admit(request, *responder, &pending, &received)) {
    if (pending.id_key != 0) ids_.Release(pending.id_key);
    return id;
  }
  pending.message = std::make_shared<const HttpRequest>(std::move(request.message));
  pending.reservation = std::move(request.reservation);
  pending.key = request.key;
  pending.body = std::move(request.body);
  pending.rules = request.rules();
  pending.due = request.due;
  pending.responder = std::move(responder);
  pending.received = received;
  pending.arrived_at = clock.Now();
  pending_.Add(id, std::move(pending));
  module_.Feed(received);
  return id;
}

// A request whose id may be running, or may have run, cannot be forwarded.
void Requests::RefuseRepeated(const ClientRequest& request, Responder& responder) {
  const auto text = request.message["Req-Id"];
  events_.Note(EventKind::kRepeated, {text.data(), text.size()});
  responder.Failed();
}

void Requests::OnUploaded(RequestId request, Steady::time_point due) {
  PendingRequest* const pending = pending_.Find(request);
  if (!pending) return;
  pending->due = due;
  pending->sent_at = Steady::now();
  module_.Feed(BodyReceived{request, module_.clock().At(due)});
}

void Requests::OnClientGone(RequestId request) {
  if (!pending_.TakeResponder(request)) return;
  PendingRequest& pending = *pending_.Find(request);
  pending.has_client_left = true;
  federation_.CreditIfNotRun(pending);
  const AttemptId attempt = pending.has_outstanding_attempt ? pending.last_attempt : 0;
  pending_.EraseIfComplete(request);
  federation_.Gone(request);
  module_.Feed(ClientGone{request});
  // No server should start a request whose client has gone.
  if (attempt != 0) backends_.CancelIfUnwritten(attempt);
}

void Requests::OnResponseUnread(RequestIds::Key request) { ids_.OnUnread(request); }

void Requests::OnClientUnknown(RequestId request) {
  if (PendingRequest* const pending = pending_.Find(request)) pending->may_begin_attempt = false;
}

void Requests::Do(const Dispatch& action) {
  PendingRequest* const pending = pending_.Find(action.request);
  const auto now = Steady::now();
  // The module counts each Dispatch as an attempt, also one that cannot be sent.
  const int attempt = pending ? pending->attempts++ : 0;
  const bool may_send = pending && pending->responder && pending->may_begin_attempt &&
                        !pending->has_outstanding_attempt && now < pending->due &&
                        attempt < pending->rules.max_attempts;
  if (!may_send) return ReportNotSent(action, attempt);
  if (attempt > 0) Note(EventKind::kRetried, action.request);
  pending->has_outstanding_attempt = true;
  pending->sent_at = now;
  Duration timeout = pending->due - now;
  if (action.timeout.count() != 0) timeout = std::clamp(action.timeout, Duration(0), timeout);
  OutgoingRequest out;
  out.head = pending->message->base();
  out.complete_body = {pending->message, &pending->message->body()};
  out.body = pending->body;
  out.due = pending->due;
  out.write_timeout = action.write_timeout;
  if (pending->key != 0) AnnounceAffinity(pending->key, action.server);
  pending->last_attempt = backends_.Send(action.server, std::move(out), timeout, EventsFor(action, attempt));
}

void Requests::AnnounceAffinity(std::uint64_t key, ServerId server) {
  const std::string& id = servers_.numbers().IdOf(server);
  if (fleet_.node() && !id.empty()) fleet_.node()->Announce(fleet::KeyAffinity{key, id});
}

void Requests::ReportNotSent(const Dispatch& action, int attempt) {
  const PendingRequest* const pending = pending_.Find(action.request);
  AttemptEnded end;
  end.request = action.request;
  end.attempt = attempt;
  end.server = action.server;
  end.is_request_finished = !pending || !pending->responder;
  end.outcome = Outcome::kNotSent;
  module_.Feed(end);
}

AttemptEvents Requests::EventsFor(const Dispatch& action, int attempt) {
  AttemptEvents events;
  events.stream_started = [this, id = action.request, attempt](ResponseHead head) {
    OnStreamStarted(id, attempt, std::move(head));
  };
  events.done = [this, id = action.request, attempt, server = action.server](AttemptResult result) {
    OnAttemptDone(id, attempt, server, std::move(result));
  };
  return events;
}

void Requests::Do(const Reject& action) {
  Note(EventKind::kRejected, action.request);
  if (!federation_.Spill(action.request, action.retry_after))
    federation_.AnswerRefused(action.request, action.retry_after);
}

void Requests::Do(const FailRequest& action) {
  Note(EventKind::kFailed, action.request);
  if (const auto responder = pending_.TakeResponder(action.request)) {
    federation_.CreditIfNotRun(*pending_.Find(action.request));
    responder->Failed();
  }
  pending_.EraseIfComplete(action.request);
}

void Requests::OnStreamStarted(RequestId request, int attempt, ResponseHead head) {
  const auto responder = pending_.TakeResponder(request);
  if (!responder) return head.body->Abandon();
  PendingRequest& pending = *pending_.Find(request);
  pending.time_to_first_byte = Steady::now() - pending.sent_at;
  pending.message.reset();  // the request is not sent again
  pending.reservation.Release();
  module_.Feed(StreamStarted{request, attempt});
  responder->StreamStarted(std::move(head));
}

void Requests::OnAttemptDone(RequestId request, int attempt, ServerId server, AttemptResult result) {
  AttemptEnded end;
  end.request = request;
  end.attempt = attempt;
  end.server = server;
  end.outcome = result.outcome;
  if (const auto event = EventOf(result.outcome)) Note(*event, request);
  PendingRequest* const pending = pending_.Find(request);
  if (pending) {
    pending->has_outstanding_attempt = false;
    pending->may_have_run |= !NeverRan(result.outcome);
    if (result.outcome == Outcome::kCancelled) pending->has_client_left = true;  // within its response
    const bool was_streamed = pending->time_to_first_byte.count() > 0;
    end.took = was_streamed ? pending->time_to_first_byte : Duration(Steady::now() - pending->sent_at);
    end.is_replayable = !pending->body || !pending->body->HasStarted();
  }
  if (result.outcome == Outcome::kOk) {
    if (const auto responder = pending_.TakeResponder(request))
      responder->Served(std::move(result.response), std::move(result.reservation));
  }
  end.is_request_finished = !pending || !pending->responder;
  if (pending && end.is_request_finished)
    federation_.CreditIfNotRun(*pending);  // the client left before the request could run
  pending_.EraseIfComplete(request);
  module_.Feed(end);
}

}  // namespace load_balancer::proxy
