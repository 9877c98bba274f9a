// SPDX-License-Identifier: Apache-2.0
#include "federation/link.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "core/module_driver.h"

namespace load_balancer::proxy {

void FederationLink::Begin(boost::asio::io_context& io, const Config& config, const std::string& votes,
                           fleet::Node* site, std::function<std::size_t()> backends, MemoryBudget& memory) {
  if (!config.sites.on) return;
  const auto connections = [backends = std::move(backends)] {
    return std::max<std::size_t>(8, backends() / 4);
  };
  federation_ = std::make_unique<Federation>(io, config, votes, *site, connections, memory,
                                             static_cast<SpillHost&>(*this));
  if (config.spill.on) module_.Feed(OverflowShare{config.spill.options.offered_fraction});
}

bool FederationLink::Admit(const ClientRequest& request, Responder& responder, PendingRequest* pending,
                           RequestReceived* received) {
  received->is_overflow = request.is_overflow;
  if (!federation_ || request.is_overflow || request.config->tenants.empty()) return true;
  const auto charged =
      federation_->Charge(request.tenant_name(), request.has_hint ? request.work_ms : module_.MeanWork());
  pending->charge_receipt = charged.receipt;
  if (charged.verdict != quota::ChargeVerdict::kNoBudget)
    received->quota_status = charged.verdict == quota::ChargeVerdict::kWithinBudget
                                 ? QuotaStatus::kWithinQuota
                                 : QuotaStatus::kOverQuota;
  if (charged.verdict != quota::ChargeVerdict::kOverBudget ||
      charged.over_limit_action != quota::OverLimitAction::kReject)
    return true;
  const Duration most = request.config->settings.max_retry_after;
  responder.OverBudget(std::min(most, Duration(charged.retry_after)));
  return false;
}

void FederationLink::CreditIfNotRun(const PendingRequest& pending) {
  if (federation_ && !pending.has_outstanding_attempt && !pending.may_have_run)
    federation_->Credit(pending.charge_receipt);
}

bool FederationLink::Spill(RequestId request, Duration retry_after) {
  if (!spill()) return false;
  PendingRequest* const pending = pending_.Find(request);
  if (!pending || !pending->responder || pending->body || pending->has_outstanding_attempt ||
      pending->may_have_run)
    return false;
  const ClassSettings& rules = pending->rules.class_settings;
  const auto span = [](Duration d) { return std::chrono::duration_cast<Span>(d); };
  const TimePoint now = module_.Now();
  overflow::RejectedRequest refused;
  refused.request = request;
  refused.idempotency = rules.idempotency;
  refused.latency_objective_left = span(pending->arrived_at + rules.latency_objective - now);
  refused.deadline_left = pending->due - Steady::now();
  refused.work_ms = pending->received.has_hint ? pending->received.work_ms : module_.MeanWork();
  refused.priority_weight = rules.priority_weight;
  refused.key = pending->key;
  refused.within_budget = pending->received.quota_status != QuotaStatus::kOverQuota;
  refused.forwarded = pending->received.is_overflow;
  refused.retry_after = span(retry_after);
  pending->may_have_run = true;  // until the other sites have rejected it
  spill()->Offer(refused, pending->message);
  return true;
}

void FederationLink::OnSpillRefused(RequestId request, Duration retry_after) {
  if (PendingRequest* const pending = pending_.Find(request)) pending->may_have_run = false;
  AnswerRefused(request, retry_after);
}

void FederationLink::AnswerRefused(RequestId request, Duration retry_after) {
  if (const auto responder = pending_.TakeResponder(request)) {
    CreditIfNotRun(*pending_.Find(request));
    responder->Rejected(retry_after);
  }
  pending_.EraseIfComplete(request);
}

void FederationLink::Gone(RequestId request) {
  if (spill()) spill()->Gone(request);
}

bool FederationLink::TakeMark(HttpRequest* message, const boost::asio::ip::address& peer) {
  return spill() && spill()->TakeMark(message, peer);
}

std::string FederationLink::EstimateText() const { return spill() ? spill()->EstimateText() : ""; }

std::size_t FederationLink::connections() const { return spill() ? spill()->connections() : 0; }

load_balancer::SpareCapacity FederationLink::SpareNow() const { return module_.EstimateSpareCapacity(); }

void FederationLink::OnSpillBegun(RequestId request, ResponseHead head) {
  const auto responder = pending_.TakeResponder(request);
  responder ? responder->StreamStarted(std::move(head)) : head.body->Abandon();
  pending_.EraseIfComplete(request);
}

void FederationLink::OnSpillServed(RequestId request, HttpResponse answer, MemoryBudget::Reservation hold) {
  if (const auto responder = pending_.TakeResponder(request))
    responder->Served(std::move(answer), std::move(hold));
  pending_.EraseIfComplete(request);
}

void FederationLink::OnSpillFailed(RequestId request) {
  if (const auto responder = pending_.TakeResponder(request)) responder->Failed();
  pending_.EraseIfComplete(request);
}

}  // namespace load_balancer::proxy
