// SPDX-License-Identifier: Apache-2.0
#include "quota/allocator.h"

#include "quota/failures.h"

namespace load_balancer::quota {
namespace {

using nlohmann::json;

constexpr int kLedgerVersion = 1;

void Send(std::string gateway, const Answer& answer, AllocatorActions* actions) {
  for (Answer& part : Split(answer)) actions->push_back(SendAnswer{gateway, std::move(part)});
}

}  // namespace

Allocator::Allocator(AllocatorOptions options, std::shared_ptr<const Budgets> budgets)
    : options_(std::move(options)), gateways_(options_.layout) {
  revisions_.present = std::move(budgets);
  revisions_.heard.assign(gateways_.size(), false);
}

Allocator::Entry* Allocator::Find(const std::string& partner) {
  if (!revisions_.present->partners.contains(partner)) return nullptr;
  if (AllocatorOf(partner, options_.allocators) != options_.index) return nullptr;
  return &partners_.try_emplace(partner, Entry{PartnerAllocator(options_.timings)}).first->second;
}

void Allocator::Schedule(const std::string& partner, Entry& entry) {
  if (entry.allocator.due() == entry.scheduled) return;
  schedule_.erase({entry.scheduled, partner});
  entry.scheduled = entry.allocator.due();
  if (entry.scheduled != Time::max()) schedule_.emplace(entry.scheduled, partner);
}

Answer Allocator::Empty(Time now, std::uint64_t life) const {
  const bool agreed = revisions_.Agreed(now, options_.timings.grant_life + options_.timings.Apart());
  return {life, revisions_.present->revision, last_.token, agreed, {}, {}, {}};
}

// The grants of other holders have ended with their leases.
void Allocator::Begin(const fleet::LeaseProof& proof, AllocatorActions* actions) {
  if (proof.token() == last_.token) return;
  last_.token = proof.token();
  actions->push_back(TermBegan{options_.index, last_.token});
}

void Allocator::Receive(Time now, const fleet::LeaseProof& proof, const std::string& gateway,
                        const Request& request, AllocatorActions* actions) {
  if (!proof.IsValid(now)) return;
  Begin(proof, actions);
  const GatewayId* from = gateways_.Find(gateway);
  if (!from) {
    if (warned_.insert(gateway).second)
      actions->push_back(AllocatorWarning{Failure(kUnknownGateway, gateway)});
    return;
  }
  const bool same = request.revision == revisions_.present->revision;
  revisions_.Hear(now, *from, same);
  if (!same) return AnswerOther(now, *from, request, actions);
  for (const Ack& ack : request.acks)
    if (Entry* entry = Find(ack.partner)) {
      entry->allocator.OnAck(now, *from, request.life, ack);
      Schedule(ack.partner, *entry);
    }
  for (const Ask& ask : request.asks)
    if (Entry* entry = Find(ask.held.partner)) {
      entry->allocator.OnAck(now, *from, request.life, ask.held);
      entry->allocator.OnAsk(now, *from, request.life, request.ask, ask);
      Schedule(ask.held.partner, *entry);
    }
  if (request.asks.empty() && request.acks.empty())
    actions->push_back(SendAnswer{gateway, Empty(now, request.life)});
  IssueGrants(now, proof, actions);
}

void Allocator::AnswerOther(Time now, GatewayId gateway, const Request& request, AllocatorActions* actions) {
  const std::string& name = gateways_.name(gateway);
  if (warned_.insert(name + " " + std::to_string(request.revision)).second)
    actions->push_back(AllocatorWarning{
        Failure(kOtherRevision, name,
                std::to_string(request.revision) + ", not " + std::to_string(revisions_.present->revision))});
  Answer answer = Empty(now, request.life);
  for (const Ask& ask : request.asks)
    if (revisions_.present->partners.contains(ask.held.partner))
      answer.floors.push_back(
          {ask.held.partner, Floors(ask.held.partner, gateways_, revisions_).Sure(gateway)});
  Send(name, answer, actions);
}

void Allocator::Tick(Time now, const fleet::LeaseProof& proof, AllocatorActions* actions) {
  if (!proof.IsValid(now)) return;
  Begin(proof, actions);
  IssueGrants(now, proof, actions);
}

void Allocator::IssueGrants(Time now, const fleet::LeaseProof& proof, AllocatorActions* actions) {
  std::map<std::pair<GatewayId, std::uint64_t>, Answer> answers;  // by gateway and life; 0: calls alone
  const auto answer = [&](GatewayId gateway, std::uint64_t life) -> Answer& {
    return answers.try_emplace({gateway, life}, Empty(now, life)).first->second;
  };
  while (!schedule_.empty() && schedule_.begin()->first <= now) {
    const std::string partner = schedule_.begin()->second;
    schedule_.erase(schedule_.begin());
    Entry& entry = partners_.at(partner);
    entry.scheduled = Time::max();
    const auto budget = revisions_.present->partners.find(partner);
    if (budget == revisions_.present->partners.end()) continue;
    const Floors floors(partner, gateways_, revisions_);
    for (IssuedGrant& issued :
         entry.allocator.IssueGrants(now, proof.deadline(), budget->second, floors, &last_)) {
      issued.grant.partner = partner;
      answer(issued.gateway, issued.life).grants.push_back(std::move(issued.grant));
    }
    proof.ExtendEffects(entry.allocator.commitments().LastEnd(now));
    for (const GatewayId gateway : entry.allocator.Calls(now, gateways_, floors))
      answer(gateway, 0).calls.push_back(partner);
    Schedule(partner, entry);
  }
  for (const auto& [to, message] : answers) Send(gateways_.name(to.first), message, actions);
}

void Allocator::Renew(std::shared_ptr<const Budgets> budgets) {
  if (budgets->revision == revisions_.present->revision) return;
  revisions_.Renew(std::move(budgets));
  warned_.clear();
}

Time Allocator::OutUntil(Time now) const {
  for (const auto& [partner, entry] : partners_)
    now = std::max(now, entry.allocator.commitments().LastEnd(now));
  return now;
}

json Allocator::Ledger(Time now) const {
  json partners = json::object();
  for (const auto& [partner, entry] : partners_)
    for (const auto& [gateway, demand] : entry.allocator.Demand(now))
      partners[partner][gateways_.name(gateway)] = static_cast<std::uint64_t>(demand);
  return {{"v", kLedgerVersion}, {"partners", std::move(partners)}};
}

Result<void> Allocator::Load(Time now, const json& ledger) {
  std::vector<std::tuple<std::string, GatewayId, Milli>> read;
  try {
    if (ledger.at("v").get<int>() != kLedgerVersion) throw std::invalid_argument("version");
    for (const auto& [partner, gateways] : ledger.at("partners").get_ref<const json::object_t&>())
      for (const auto& [gateway, demand] : gateways.get_ref<const json::object_t&>()) {
        if (!demand.is_number_unsigned() || demand.get<std::uint64_t>() > kMostRate)
          throw std::invalid_argument("demand");
        if (const GatewayId* id = gateways_.Find(gateway))
          read.emplace_back(partner, *id, demand.get<Milli>());
      }
  } catch (const json::exception& fault) {
    return tl::unexpected(Failure(kBadLedger, "treasurer/" + std::to_string(options_.index), fault.what()));
  } catch (const std::invalid_argument& fault) {
    return tl::unexpected(Failure(kBadLedger, "treasurer/" + std::to_string(options_.index), fault.what()));
  }
  for (const auto& [partner, gateway, demand] : read)
    if (Entry* entry = Find(partner)) entry->allocator.Expect(now, gateway, demand);
  return {};
}

std::vector<Allocator::Line> Allocator::Lines(Time now) const {
  std::vector<Line> lines;
  for (const auto& [partner, entry] : partners_) {
    const auto budget = revisions_.present->partners.find(partner);
    if (budget == revisions_.present->partners.end()) continue;
    const Floors floors(partner, gateways_, revisions_);
    Line line{partner,
              budget->second.rate,
              entry.allocator.commitments().Sums(now, now + Span(1), floors).front().rate,
              {}};
    for (const auto& [gateway, demand] : entry.allocator.Demand(now))
      line.demand[gateways_.name(gateway)] = demand;
    lines.push_back(std::move(line));
  }
  return lines;
}

}  // namespace load_balancer::quota
