// SPDX-License-Identifier: Apache-2.0
#include "quota/allocator.h"

#include "quota/demand_ledger.h"
#include "quota/duty.h"
#include "quota/failures.h"
#include "quota/message_split.h"

namespace load_balancer::quota {
namespace {

// The process to which a response is sent. Incarnation 0 stands for any process of the gateway.
struct Recipient {
  GatewayId gateway = 0;
  std::uint64_t incarnation = 0;
  auto operator<=>(const Recipient&) const = default;
};

void Send(const std::string& gateway, const AllocationResponse& response, AllocatorActions* actions) {
  for (AllocationResponse& message : Split(response))
    actions->push_back(SendResponse{gateway, std::move(message)});
}

}  // namespace

Allocator::Allocator(AllocatorOptions options, std::shared_ptr<const Budgets> budgets)
    : options_(std::move(options)), gateways_(options_.layout) {
  revisions_.current = std::move(budgets);
  revisions_.has_current.assign(gateways_.size(), false);
}

Allocator::Entry* Allocator::Find(const std::string& partner) {
  if (!revisions_.current->partners.contains(partner)) return nullptr;
  if (AllocatorOf(partner, options_.allocators) != options_.index) return nullptr;
  return &partners_.try_emplace(partner, Entry{PartnerAllocator(options_.timings)}).first->second;
}

void Allocator::Schedule(const std::string& partner, Entry& entry) {
  if (entry.allocator.due() == entry.scheduled) return;
  schedule_.erase({entry.scheduled, partner});
  entry.scheduled = entry.allocator.due();
  if (entry.scheduled != Time::max()) schedule_.insert({entry.scheduled, partner});
}

AllocationResponse Allocator::EmptyResponse(Time now, std::uint64_t incarnation) const {
  const Span grants_expire = options_.timings.max_grant_lifetime + options_.timings.MaxClockDifference();
  const bool is_agreed = revisions_.IsAgreed(now, grants_expire);
  return {incarnation, revisions_.current->revision, last_grant_.token, is_agreed, {}, {}, {}};
}

// Begins a term as holder of the lease if the lease's fencing token is new. The grants of earlier holders
// have expired, because no grant lasts longer than the lease of its holder.
void Allocator::BeginTerm(const fleet::LeaseProof& proof, AllocatorActions* actions) {
  if (proof.token() == last_grant_.token) return;
  last_grant_.token = proof.token();
  actions->push_back(TermBegan{options_.index, last_grant_.token});
}

void Allocator::WarnOnce(const std::string& key, const Failure& failure, AllocatorActions* actions) {
  if (warned_.insert(key).second) actions->push_back(LogWarning{failure});
}

void Allocator::OnRequest(Time now, const fleet::LeaseProof& proof, const std::string& gateway,
                          const AllocationRequest& request, AllocatorActions* actions) {
  if (!proof.IsValid(now)) return;
  BeginTerm(proof, actions);
  const GatewayId* from = gateways_.Find(gateway);
  if (!from) return WarnOnce(gateway, Failure(kUnknownGateway, gateway), actions);
  const bool is_current = request.revision == revisions_.current->revision;
  revisions_.OnReport(now, *from, is_current);
  if (!is_current) return HandleOtherRevision(now, *from, request, actions);
  HandleEntries(now, *from, request);
  if (request.grant_requests.empty() && request.acks.empty())
    actions->push_back(SendResponse{gateway, EmptyResponse(now, request.incarnation)});
  IssueGrants(now, proof, actions);
}

void Allocator::HandleEntries(Time now, GatewayId gateway, const AllocationRequest& request) {
  for (const GrantAck& ack : request.acks) {
    Entry* entry = Find(ack.partner);
    if (!entry) continue;
    entry->allocator.OnAck(now, gateway, request.incarnation, ack);
    Schedule(ack.partner, *entry);
  }
  for (const GrantRequest& grant_request : request.grant_requests) {
    const GrantAck& held_grant = grant_request.held_grant;
    Entry* entry = Find(held_grant.partner);
    if (!entry) continue;
    entry->allocator.OnAck(now, gateway, request.incarnation, held_grant);
    entry->allocator.OnGrantRequest(now, gateway, request.incarnation, request.number, grant_request);
    Schedule(held_grant.partner, *entry);
  }
}

void Allocator::HandleOtherRevision(Time now, GatewayId gateway, const AllocationRequest& request,
                                    AllocatorActions* actions) {
  const std::string& name = gateways_.name(gateway);
  const std::string theirs = std::to_string(request.revision);
  const std::string ours = std::to_string(revisions_.current->revision);
  WarnOnce(name + " " + theirs, Failure(kOtherRevision, name, theirs + ", not " + ours), actions);
  AllocationResponse response = EmptyResponse(now, request.incarnation);
  for (const GrantRequest& grant_request : request.grant_requests) {
    const std::string& partner = grant_request.held_grant.partner;
    if (!revisions_.current->partners.contains(partner)) continue;
    const ReservedMinimums minimums(partner, gateways_, revisions_);
    response.reserved_minimums.push_back({partner, minimums.CurrentOf(gateway)});
  }
  Send(name, response, actions);
}

void Allocator::Tick(Time now, const fleet::LeaseProof& proof, AllocatorActions* actions) {
  if (!proof.IsValid(now)) return;
  BeginTerm(proof, actions);
  IssueGrants(now, proof, actions);
}

void Allocator::IssueGrants(Time now, const fleet::LeaseProof& proof, AllocatorActions* actions) {
  std::map<Recipient, AllocationResponse> responses;
  const auto response_to = [&](const Recipient& recipient) -> AllocationResponse& {
    return responses.try_emplace(recipient, EmptyResponse(now, recipient.incarnation)).first->second;
  };
  while (!schedule_.empty() && schedule_.begin()->due <= now) {
    const std::string partner = schedule_.begin()->partner;
    schedule_.erase(schedule_.begin());
    Entry& entry = partners_.at(partner);
    PartnerAllocator& allocator = entry.allocator;
    entry.scheduled = Time::max();
    const auto budget = revisions_.current->partners.find(partner);
    if (budget == revisions_.current->partners.end()) continue;
    const ReservedMinimums minimums(partner, gateways_, revisions_);
    for (IssuedGrant& issued :
         allocator.IssueGrants(now, proof.deadline(), budget->second, minimums, &last_grant_)) {
      issued.grant.partner = partner;
      response_to({issued.gateway, issued.incarnation}).grants.push_back(std::move(issued.grant));
    }
    proof.ExtendEffects(allocator.commitments().LastExpiry(now));
    for (const GatewayId gateway : allocator.Recalls(now, gateways_, minimums))
      response_to({gateway, 0}).recalls.push_back(partner);
    Schedule(partner, entry);
  }
  for (const auto& [recipient, response] : responses)
    Send(gateways_.name(recipient.gateway), response, actions);
}

void Allocator::UpdateBudgets(std::shared_ptr<const Budgets> budgets) {
  if (budgets->revision == revisions_.current->revision) return;
  revisions_.Update(std::move(budgets));
  warned_.clear();
}

Time Allocator::GrantsExpireAt(Time now) const {
  Time last = now;
  for (const auto& [partner, entry] : partners_)
    last = std::max(last, entry.allocator.commitments().LastExpiry(now));
  return last;
}

nlohmann::json Allocator::Ledger(Time now) const {
  std::vector<DemandLedgerEntry> entries;
  for (const auto& [partner, entry] : partners_)
    for (const auto& [gateway, demand] : entry.allocator.Demand(now))
      entries.push_back({partner, gateways_.name(gateway), demand});
  return DemandLedgerToJson(entries);
}

Result<void> Allocator::Load(Time now, const nlohmann::json& ledger) {
  const auto entries = DemandLedgerFromJson(ledger, AllocatorRoleName(options_.index));
  if (!entries) return tl::unexpected(entries.error());
  for (const DemandLedgerEntry& expected : *entries) {
    const GatewayId* gateway = gateways_.Find(expected.gateway);
    if (!gateway) continue;
    if (Entry* entry = Find(expected.partner))
      entry->allocator.SetExpectedDemand(now, *gateway, expected.demand);
  }
  return {};
}

std::vector<PartnerBudgetStatus> Allocator::Statuses(Time now) const {
  std::vector<PartnerBudgetStatus> statuses;
  for (const auto& [partner, entry] : partners_) {
    const auto budget = revisions_.current->partners.find(partner);
    if (budget == revisions_.current->partners.end()) continue;
    const ReservedMinimums minimums(partner, gateways_, revisions_);
    PartnerBudgetStatus status;
    status.partner = partner;
    status.rate = budget->second.rate;
    status.committed = entry.allocator.commitments().TotalsBySlot(now, now + Span(1), minimums).front().rate;
    for (const auto& [gateway, demand] : entry.allocator.Demand(now))
      status.demand[gateways_.name(gateway)] = demand;
    statuses.push_back(std::move(status));
  }
  return statuses;
}

}  // namespace load_balancer::quota
