// SPDX-License-Identifier: Apache-2.0
#include "model/system/gateway.h"

#include <algorithm>
#include <utility>

namespace load_balancer::model {
namespace {

FleetSetup Observed(FleetSetup setup, Observer* facts) {
  setup.federation_pool.value().observer = facts;
  return setup;
}

}  // namespace

SystemGateway::SystemGateway(Host& host, FleetSetup setup, const GatewayOptions& options, Ledger& ledger,
                             const Wiring& wiring, Checks& checks)
    : GatewayProgram(host, Observed(setup, &facts_), options, ledger),
      setup_(std::move(setup)),
      options_(options),
      wiring_(wiring),
      checks_(checks),
      quota_(host, *federation_member(), setup_.machine, wiring, checks),
      spill_(host, site(), *federation_member(), setup_.machine, wiring, checks, *this) {
  Feed(OverflowShare{wiring.spill.offered_fraction});
}

void SystemGateway::Receive(const Packet& packet) {
  GatewayProgram::Receive(packet);
  const auto* datagram = std::any_cast<Datagram>(packet.content.get());
  if (datagram && datagram->message.kind == fleet::Message::Kind::kPayload) OnPayload(datagram->message);
  for (const fleet::FencedValue& fact : facts_.Take()) spill_.OnPoolFact(fact);
}

// Of the federation's pool only what comes from a gateway's configured address.
void SystemGateway::OnPayload(const fleet::Message& message) {
  const std::string& name = message.sender.name;
  if (name == host().Name()) return;
  if (message.channel == SpillSide::kChannel) return spill_.HearSpare(name, message.payload);
  const auto known = wiring_.addresses.find(name);
  if (known != wiring_.addresses.end() && known->second == message.sender.address)
    quota_.Receive(name, message.payload);
}

void SystemGateway::Tick() {
  GatewayProgram::Tick();
  if (quota_.Next() <= host().Now()) quota_.Tick();
  if (spill_.Next() <= host().Now()) spill_.Tick();
  if (!leaves_at_ || *leaves_at_ > host().Now()) return;
  leaves_at_.reset();
  federation_member()->Leave();
}

Time SystemGateway::Next() const {
  return std::min({GatewayProgram::Next(), quota_.Next(), spill_.Next(), leaves_at_.value_or(Time::max())});
}

void SystemGateway::Leave() {
  site().Leave();
  quota_.Pause();
  leaves_at_ = quota_.GrantsExpireAt();
}

void SystemGateway::Rejoin() {
  site().Rejoin();
  leaves_at_.reset();
  federation_member()->Rejoin();
  quota_.Resume();
}

load_balancer::SpareCapacity SystemGateway::SpareNow() const {
  return balancer().EstimateSpareCapacity(PointOf(host().Now()));
}

std::string SystemGateway::LeftOpen() const {
  std::string left;
  const auto add = [&](std::size_t count, const char* what) {
    if (count > 0) left += (left.empty() ? "" : ", ") + std::to_string(count) + " " + what;
  };
  add(open(), "requests");
  add(charged_.size(), "charges");
  add(spill_.open(), "spilled requests");
  return left;
}

// ---- requests -----------------------------------------------------------------------------------------
bool SystemGateway::OnArrival(RequestId id, Request& request) {
  request.received.is_overflow = spill_.TakeMark(&request.ask, request.client);
  if (request.received.is_overflow || Admit(request, id)) return true;
  return false;
}

// False if it has had its answer: its partner is over a budget that refuses.
bool SystemGateway::Admit(Request& request, RequestId id) {
  const std::string& partner = wiring_.tenants.at(static_cast<std::size_t>(request.ask.tenant));
  const Checks::Try one{request.ask.call, request.ask.tried};
  const quota::ChargeResult charged = quota_.Charge(partner, request.ask.work_ms);
  if (charged.verdict == quota::ChargeVerdict::kWithinBudget)
    charged_[id] = {checks_.Admitted(partner, one, charged.receipt.cost), charged.receipt};
  if (charged.verdict != quota::ChargeVerdict::kNoBudget)
    request.received.quota_status = charged.verdict == quota::ChargeVerdict::kWithinBudget
                                        ? QuotaStatus::kWithinQuota
                                        : QuotaStatus::kOverQuota;
  if (charged.verdict != quota::ChargeVerdict::kOverBudget ||
      charged.over_limit_action != quota::OverLimitAction::kReject)
    return true;
  checks_.OverBudget(one);
  const Span most = std::chrono::duration_cast<Span>(options_.settings.max_retry_after);
  Finish(id, Ending::kRefused, std::min(most, charged.retry_after));
  return false;
}

void SystemGateway::CreditIfNotRun(RequestId id, const Request& request) {
  const auto found = charged_.find(id);
  if (found == charged_.end() || request.attempt_out || request.may_have_run) return;
  quota_.Credit(found->second.receipt);
  checks_.Credited(found->second.receipt.partner, found->second.number);
  charged_.erase(found);
}

bool SystemGateway::OnRefused(RequestId id, Request& request, Span retry_after) {
  if (request.attempt_out || request.may_have_run) {
    AnswerRefused(id, retry_after);
    return true;
  }
  const ClassSettings& rules =
      options_.settings.classes.at(static_cast<std::size_t>(request.ask.request_class));
  const Time now = host().Now();
  overflow::RejectedRequest refused;
  refused.request = id;
  refused.idempotency = rules.idempotency;
  refused.latency_objective_left =
      request.came + std::chrono::duration_cast<Span>(rules.latency_objective) - now;
  refused.deadline_left = request.due - now;
  refused.work_ms = request.received.work_ms;
  refused.priority_weight = rules.priority_weight;
  refused.key = request.ask.key;
  refused.within_budget = request.received.quota_status != QuotaStatus::kOverQuota;
  refused.forwarded = request.received.is_overflow;
  refused.retry_after = retry_after;
  request.may_have_run = true;  // until it comes back as refused
  spill_.Offer(refused, request.ask, request.received);
  return true;
}

void SystemGateway::OnGone(RequestId id, const Request& request) {
  CreditIfNotRun(id, request);
  spill_.Gone(id);
}

void SystemGateway::OnPacket(const Packet& packet) {
  if (const auto* answer = std::any_cast<ClientAnswer>(packet.content.get()))
    spill_.Receive(packet.from, *answer);
}

void SystemGateway::OnSpillServed(RequestId request) {
  Finish(request, Ending::kServed);
  ForgetIfOver(request);
}

void SystemGateway::OnSpillRefused(RequestId request, Span retry_after) {
  if (Request* refused = Find(request)) refused->may_have_run = false;
  AnswerRefused(request, retry_after);
}

void SystemGateway::AnswerRefused(RequestId id, Span retry_after) {
  if (const Request* request = Find(id); request && !request->answered) CreditIfNotRun(id, *request);
  Finish(id, Ending::kRefused, retry_after);
  ForgetIfOver(id);
}

void SystemGateway::OnSpillFailed(RequestId request) {
  Finish(request, Ending::kFailed);
  ForgetIfOver(request);
}

}  // namespace load_balancer::model
