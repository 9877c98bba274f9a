// SPDX-License-Identifier: Apache-2.0
#include "quota/treasurer.h"

#include "quota/failures.h"

namespace brackenspoke::quota {
namespace {

using nlohmann::json;

constexpr int kLedgerVersion = 1;

void Send(std::string gateway, const Answer& answer, TreasurerActions* actions) {
  for (Answer& part : Split(answer)) actions->push_back(SendAnswer{gateway, std::move(part)});
}

}  // namespace

Treasurer::Treasurer(TreasurerOptions options, std::shared_ptr<const Budgets> budgets)
    : options_(std::move(options)), gateways_(options_.layout) {
  revisions_.present = std::move(budgets);
  revisions_.heard.assign(gateways_.size(), false);
}

Treasurer::Entry* Treasurer::Find(const std::string& partner) {
  if (!revisions_.present->partners.contains(partner)) return nullptr;
  if (TreasurerOf(partner, options_.treasurers) != options_.index) return nullptr;
  return &treasuries_.try_emplace(partner, Entry{PartnerTreasury(options_.timings)}).first->second;
}

void Treasurer::Schedule(const std::string& partner, Entry& entry) {
  if (entry.treasury.due() == entry.scheduled) return;
  schedule_.erase({entry.scheduled, partner});
  entry.scheduled = entry.treasury.due();
  if (entry.scheduled != Time::max()) schedule_.emplace(entry.scheduled, partner);
}

Answer Treasurer::Empty(Time now, std::uint64_t life) const {
  const bool agreed = revisions_.Agreed(now, options_.timings.draw + options_.timings.Apart());
  return {life, revisions_.present->revision, last_.token, agreed, {}, {}, {}};
}

// The draws of other holders have ended with their leases.
void Treasurer::Begin(const fleet::LeaseGuard& guard, TreasurerActions* actions) {
  if (guard.token() == last_.token) return;
  last_.token = guard.token();
  actions->push_back(TermBegan{options_.index, last_.token});
}

void Treasurer::Receive(Time now, const fleet::LeaseGuard& guard, const std::string& gateway,
                        const Request& request, TreasurerActions* actions) {
  if (!guard.Holds(now)) return;
  Begin(guard, actions);
  const GatewayId* from = gateways_.Find(gateway);
  if (!from) {
    if (complained_.insert(gateway).second)
      actions->push_back(TreasurerComplains{Failure(kUnknownGateway, gateway)});
    return;
  }
  const bool same = request.revision == revisions_.present->revision;
  revisions_.Hear(now, *from, same);
  if (!same) return AnswerOther(now, *from, request, actions);
  for (const Ack& ack : request.acks)
    if (Entry* entry = Find(ack.partner)) {
      entry->treasury.OnAck(now, *from, request.life, ack);
      Schedule(ack.partner, *entry);
    }
  for (const Ask& ask : request.asks)
    if (Entry* entry = Find(ask.held.partner)) {
      entry->treasury.OnAck(now, *from, request.life, ask.held);
      entry->treasury.OnAsk(now, *from, request.life, request.ask, ask);
      Schedule(ask.held.partner, *entry);
    }
  if (request.asks.empty() && request.acks.empty())
    actions->push_back(SendAnswer{gateway, Empty(now, request.life)});
  HandOut(now, guard, actions);
}

void Treasurer::AnswerOther(Time now, GatewayId gateway, const Request& request, TreasurerActions* actions) {
  const std::string& name = gateways_.name(gateway);
  if (complained_.insert(name + " " + std::to_string(request.revision)).second)
    actions->push_back(TreasurerComplains{
        Failure(kOtherRevision, name,
                std::to_string(request.revision) + ", not " + std::to_string(revisions_.present->revision))});
  Answer answer = Empty(now, request.life);
  for (const Ask& ask : request.asks)
    if (revisions_.present->partners.contains(ask.held.partner))
      answer.floors.push_back(
          {ask.held.partner, Floors(ask.held.partner, gateways_, revisions_).Sure(gateway)});
  Send(name, answer, actions);
}

void Treasurer::Tick(Time now, const fleet::LeaseGuard& guard, TreasurerActions* actions) {
  if (!guard.Holds(now)) return;
  Begin(guard, actions);
  HandOut(now, guard, actions);
}

void Treasurer::HandOut(Time now, const fleet::LeaseGuard& guard, TreasurerActions* actions) {
  std::map<std::pair<GatewayId, std::uint64_t>, Answer> answers;  // by gateway and life; 0: calls alone
  const auto answer = [&](GatewayId gateway, std::uint64_t life) -> Answer& {
    return answers.try_emplace({gateway, life}, Empty(now, life)).first->second;
  };
  while (!schedule_.empty() && schedule_.begin()->first <= now) {
    const std::string partner = schedule_.begin()->second;
    schedule_.erase(schedule_.begin());
    Entry& entry = treasuries_.at(partner);
    entry.scheduled = Time::max();
    const auto budget = revisions_.present->partners.find(partner);
    if (budget == revisions_.present->partners.end()) continue;
    const Floors floors(partner, gateways_, revisions_);
    for (Handed& handed : entry.treasury.HandOut(now, guard.deadline(), budget->second, floors, &last_)) {
      handed.draw.partner = partner;
      answer(handed.gateway, handed.life).draws.push_back(std::move(handed.draw));
    }
    guard.Outlasts(entry.treasury.commitments().LastEnd(now));
    for (const GatewayId gateway : entry.treasury.Calls(now, gateways_, floors))
      answer(gateway, 0).calls.push_back(partner);
    Schedule(partner, entry);
  }
  for (const auto& [to, message] : answers) Send(gateways_.name(to.first), message, actions);
}

void Treasurer::Renew(std::shared_ptr<const Budgets> budgets) {
  if (budgets->revision == revisions_.present->revision) return;
  revisions_.Renew(std::move(budgets));
  complained_.clear();
}

Time Treasurer::OutUntil(Time now) const {
  for (const auto& [partner, entry] : treasuries_)
    now = std::max(now, entry.treasury.commitments().LastEnd(now));
  return now;
}

json Treasurer::Ledger(Time now) const {
  json partners = json::object();
  for (const auto& [partner, entry] : treasuries_)
    for (const auto& [gateway, demand] : entry.treasury.Demand(now))
      partners[partner][gateways_.name(gateway)] = static_cast<std::uint64_t>(demand);
  return {{"v", kLedgerVersion}, {"partners", std::move(partners)}};
}

Result<void> Treasurer::Load(Time now, const json& ledger) {
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
    if (Entry* entry = Find(partner)) entry->treasury.Expect(now, gateway, demand);
  return {};
}

std::vector<Treasurer::Line> Treasurer::Lines(Time now) const {
  std::vector<Line> lines;
  for (const auto& [partner, entry] : treasuries_) {
    const auto budget = revisions_.present->partners.find(partner);
    if (budget == revisions_.present->partners.end()) continue;
    const Floors floors(partner, gateways_, revisions_);
    Line line{partner,
              budget->second.rate,
              entry.treasury.commitments().Sums(now, now + Span(1), floors).front().rate,
              {}};
    for (const auto& [gateway, demand] : entry.treasury.Demand(now))
      line.demand[gateways_.name(gateway)] = demand;
    lines.push_back(std::move(line));
  }
  return lines;
}

}  // namespace brackenspoke::quota
