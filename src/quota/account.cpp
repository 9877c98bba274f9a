// SPDX-License-Identifier: Apache-2.0
#include "quota/account.h"

#include <algorithm>
#include <cmath>

#include "quota/failures.h"

namespace load_balancer::quota {
namespace {

using std::chrono::milliseconds;

constexpr Span kGreeting = std::chrono::seconds(1);  // between two requests that only tell the revision

// At least a Milli, at most what no bucket holds.
Milli CostOf(double units) {
  const double cost = std::ceil(units * static_cast<double>(kOne));
  if (!(cost >= 1)) return 1;
  return cost < static_cast<double>(kMostBurst) ? static_cast<Milli>(cost) : kMostBurst + 1;
}

}  // namespace

Account::Account(AccountOptions options, std::shared_ptr<const Budgets> budgets, Time now)
    : options_(std::move(options)),
      budgets_(std::move(budgets)),
      begun_(now),
      floors_from_(now + options_.timings.grant_life + options_.timings.drift),
      next_(Time::max()) {}

Account::Entry* Account::Find(std::string_view partner) {
  const auto found = entries_.find(partner);
  if (found != entries_.end()) return &found->second;
  const auto budget = budgets_->partners.find(partner);
  if (budget == budgets_->partners.end()) return nullptr;
  const Part floor = retired_ ? Part{} : FloorOf(budget->second, options_.site, options_.gateways);
  return &entries_
              .emplace(partner, Entry{PartnerAccount(begun_, {floor, floor, floors_from_}, options_.timings)})
              .first->second;
}

void Account::Activate(Time now, const std::string& partner, Entry& entry) {
  if (entry.active) return;
  entry.active = true;
  active_.emplace(partner, &entry);
  next_ = std::min(next_, now);
}

Charged Account::Charge(Time now, std::string_view partner, double units) {
  Entry* entry = Find(partner);
  if (!entry) return {};
  Charged charged{
      Verdict::kOver, budgets_->partners.find(partner)->second.over, Span(0), {std::string(partner), now, 0}};
  const Milli cost = CostOf(units);
  if (entry->account.Charge(now, cost)) {
    charged.verdict = Verdict::kInside;
    charged.ticket.cost = cost;
  } else {
    charged.retry_after = entry->account.Until(now, cost).value_or(options_.timings.ask);
  }
  Activate(now, charged.ticket.partner, *entry);
  return charged;
}

void Account::Credit(Time now, const Ticket& ticket) {
  const auto found = entries_.find(ticket.partner);
  if (ticket.cost > 0 && found != entries_.end()) found->second.account.Credit(now, ticket.at, ticket.cost);
}

void Account::Receive(Time now, std::size_t allocator, const Answer& answer, AccountActions* actions) {
  if (retired_) return;
  if (answer.revision != budgets_->revision) {
    // A newer file lowers this gateway's floors before it is read here.
    for (const Floor& floor : answer.floors)
      if (Entry* entry = Find(floor.partner)) {
        const FloorTerms& terms = entry->account.floor();
        entry->account.SetFloor(now, Smaller(terms.part, floor.part), terms.full);
      }
    return;
  }
  if (answer.agreed) Agree(now);
  for (const std::string& partner : answer.calls)
    if (Entry* entry = Find(partner)) {
      entry->account.Call();
      Activate(now, partner, *entry);
      next_ = std::min(next_, now);
    }
  if (answer.life != options_.life) return;
  Request acks{options_.life, budgets_->revision, ask_, {}, {}};
  for (const Grant& grant : answer.grants) {
    const auto asked = asked_.find(grant.ask);
    Entry* entry = asked == asked_.end() ? nullptr : Find(grant.partner);
    if (!entry) continue;
    const Time until =
        asked->second + std::min<Span>(milliseconds(grant.life_ms), options_.timings.grant_life);
    if (!entry->account.Take(now, grant, {answer.token, grant.number}, until)) continue;
    acks.acks.push_back(entry->account.Held(now));
    acks.acks.back().partner = grant.partner;
    Activate(now, grant.partner, *entry);
    Tell(now, grant.partner, *entry, actions);
  }
  for (Request& request : Split(acks)) actions->push_back(SendRequest{allocator, std::move(request)});
}

void Account::Tell(Time now, const std::string& partner, Entry& entry, AccountActions* actions) {
  using Source = PartnerAccount::Source;
  const Source source = entry.account.SourceAt(now);
  if (source == entry.told) return;
  if (entry.told == Source::kGrant && entry.account.Wanted(now) > 0)
    actions->push_back(Complain{Failure(kNoAllocator, partner)});
  entry.told = source;
  actions->push_back(
      SourceChanged{partner, source, entry.account.InForce(now), entry.account.Held(now).grant});
}

void Account::SendOut(std::vector<Request> requests, AccountActions* actions) {
  for (std::size_t allocator = 0; allocator < requests.size(); ++allocator)
    for (Request& request : Split(requests[allocator]))
      actions->push_back(SendRequest{allocator, std::move(request)});
}

void Account::Tick(Time now, AccountActions* actions) {
  if (now < next_) return;
  std::erase_if(asked_, [&](const auto& asked) { return now - asked.second > options_.timings.grant_life; });
  std::vector<Request> requests(options_.allocators,
                                Request{options_.life, budgets_->revision, ask_ + 1, {}, {}});
  std::vector<std::pair<const std::string*, Entry*>> soon;
  const auto ask = [&](const std::string& partner, Entry& entry, Request& request) {
    request.asks.push_back(entry.account.MakeAsk(now));
    request.asks.back().held.partner = partner;
  };
  for (auto it = active_.begin(); it != active_.end();) {
    auto& [partner, entry] = *it;
    Tell(now, partner, *entry, actions);
    const auto asking = retired_ ? PartnerAccount::Asking::kNo : entry->account.WantsToAsk(now);
    if (asking == PartnerAccount::Asking::kNow)
      ask(partner, *entry, requests[AllocatorOf(partner, options_.allocators)]);
    else if (asking == PartnerAccount::Asking::kWithOthers)
      soon.emplace_back(&partner, entry);
    entry->active = !entry->account.Idle(now);
    it = entry->active ? std::next(it) : active_.erase(it);
  }
  for (const auto& [partner, entry] : soon)
    if (Request& request = requests[AllocatorOf(*partner, options_.allocators)]; !request.asks.empty())
      ask(*partner, *entry, request);
  const bool asks = std::any_of(requests.begin(), requests.end(),
                                [](const Request& request) { return !request.asks.empty(); });
  if (asks) asked_.emplace(++ask_, now);
  SendOut(std::move(requests), actions);
  if (now >= greet_at_) {
    for (std::size_t i = 0; i < options_.allocators; ++i)
      actions->push_back(SendRequest{i, {options_.life, budgets_->revision, ask_, {}, {}}});
    greet_at_ = now + kGreeting;
  }
  next_ = std::min(greet_at_, active_.empty() ? Time::max() : now + Demand::kBin);
}

void Account::Agree(Time now) {
  if (agreed_) return;
  agreed_ = true;
  greet_at_ = Time::max();
  for (auto& [partner, entry] : entries_)
    entry.account.SetFloor(now, entry.account.floor().full, entry.account.floor().full);
}

void Account::Renew(Time now, std::shared_ptr<const Budgets> budgets, AccountActions* actions) {
  const std::shared_ptr<const Budgets> before = std::exchange(budgets_, std::move(budgets));
  if (before->revision == budgets_->revision) return;
  for (auto it = entries_.begin(); it != entries_.end();) {
    const bool stays = budgets_->partners.contains(it->first);
    if (!stays) active_.erase(it->first);
    it = stays ? std::next(it) : entries_.erase(it);
  }
  for (const auto& [partner, budget] : budgets_->partners) {
    const Part full = FloorOf(budget, options_.site, options_.gateways);
    const auto old = before->partners.find(partner);
    if (old == before->partners.end()) {
      // It may have been there before that, with its floor lent.
      const Time from = now + options_.timings.grant_life + options_.timings.drift;
      entries_.emplace(partner, Entry{PartnerAccount(now, {full, full, from}, options_.timings)});
      continue;
    }
    const Part was = FloorOf(old->second, options_.site, options_.gateways);
    if (was == full && !entries_.contains(partner)) continue;
    if (!entries_.contains(partner))
      entries_.emplace(partner, Entry{PartnerAccount(begun_, {was, was, floors_from_}, options_.timings)});
    PartnerAccount& account = entries_.find(partner)->second.account;
    account.SetFloor(now, Smaller(account.floor().part, full), full);
  }
  agreed_ = false;
  greet_at_ = now;
  next_ = std::min(next_, now);
  Tick(now, actions);
}

void Account::Retire(Time now) {
  retired_ = true;
  floors_from_ = Time::max();
  greet_at_ = Time::max();
  for (auto& [partner, entry] : entries_) entry.account.SetFloor(now, {}, {});
}

std::vector<Account::Line> Account::Lines(Time now) {
  std::vector<Line> lines;
  for (const auto& [partner, entry] : active_)
    lines.push_back({partner, entry->account.SourceAt(now), entry->account.InForce(now),
                     entry->account.Held(now), entry->account.Wanted(now)});
  return lines;
}

}  // namespace load_balancer::quota
