// SPDX-License-Identifier: Apache-2.0
#include "quota/account.h"

#include <algorithm>
#include <cmath>

#include "quota/failures.h"
#include "quota/message_split.h"

namespace load_balancer::quota {
namespace {

using std::chrono::milliseconds;

// Interval of the requests that only report the revision. They are sent until all gateways have that
// revision.
constexpr Span kAnnounceInterval = std::chrono::seconds(1);

// Converts a cost to MilliUnits. The result is at least 1 and at most kMaxBurst + 1, which no bucket can
// hold.
MilliUnits CostOf(double units) {
  const double cost = std::ceil(units * static_cast<double>(kUnit));
  if (!(cost >= 1)) return 1;
  return cost < static_cast<double>(kMaxBurst) ? static_cast<MilliUnits>(cost) : kMaxBurst + 1;
}

void Send(std::size_t allocator, const AllocationRequest& request, AccountActions* actions) {
  for (AllocationRequest& message : Split(request))
    actions->push_back(SendRequest{allocator, std::move(message)});
}

}  // namespace

Account::Account(AccountOptions options, std::shared_ptr<const Budgets> budgets, Time now)
    : options_(std::move(options)),
      accounts_({options_.site, options_.gateways}, options_.timings, std::move(budgets), now) {}

void Account::Activate(Time now, const std::string& partner, Entry& entry) {
  if (accounts_.Activate(partner, entry)) next_ = std::min(next_, now);
}

ChargeResult Account::Charge(Time now, std::string_view partner, double units) {
  Entry* entry = accounts_.Find(partner);
  if (!entry) return {};
  ChargeResult result;
  result.verdict = ChargeVerdict::kOverBudget;
  result.over_limit_action = budgets().partners.find(partner)->second.over_limit_action;
  result.receipt = {std::string(partner), now, 0};
  const MilliUnits cost = CostOf(units);
  if (entry->account.Charge(now, cost)) {
    result.verdict = ChargeVerdict::kWithinBudget;
    result.receipt.cost = cost;
  } else {
    const auto wait = entry->account.TimeUntilAvailable(now, cost);
    result.retry_after = wait.value_or(options_.timings.request_interval);
  }
  Activate(now, result.receipt.partner, *entry);
  return result;
}

void Account::Credit(Time now, const ChargeReceipt& receipt) {
  if (receipt.cost <= 0) return;
  if (Entry* entry = accounts_.FindExisting(receipt.partner))
    entry->account.Credit(now, receipt.charged_at, receipt.cost);
}

AllocationRequest Account::EmptyRequest(std::uint64_t number) const {
  return {options_.incarnation, budgets().revision, number, {}, {}};
}

void Account::OnResponse(Time now, std::size_t allocator, const AllocationResponse& response,
                         AccountActions* actions) {
  if (is_retired_) return;
  if (response.revision != budgets().revision) return ApplyNewerRevision(now, response);
  if (response.is_agreed) OnRevisionAgreed(now);
  for (const std::string& partner : response.recalls) {
    Entry* entry = accounts_.Find(partner);
    if (!entry) continue;
    entry->account.OnRecall();
    Activate(now, partner, *entry);
    next_ = std::min(next_, now);
  }
  if (response.incarnation == options_.incarnation) AcceptGrants(now, allocator, response, actions);
}

// Lowers the reserved minimums to those of the allocator's revision. A newer configuration file lowers them
// at this gateway before the gateway has read the file.
void Account::ApplyNewerRevision(Time now, const AllocationResponse& response) {
  for (const ReservedMinimum& minimum : response.reserved_minimums) {
    Entry* entry = accounts_.Find(minimum.partner);
    if (!entry) continue;
    const ReservedMinimumTerms& terms = entry->account.reserved_minimum();
    entry->account.SetReservedMinimum(now, ElementwiseMin(terms.usable, minimum.allocation),
                                      terms.configured);
  }
}

void Account::AcceptGrants(Time now, std::size_t allocator, const AllocationResponse& response,
                           AccountActions* actions) {
  AllocationRequest acks = EmptyRequest(last_request_);
  for (const Grant& grant : response.grants) {
    const auto requested_at = request_times_.find(grant.request_number);
    if (requested_at == request_times_.end()) continue;
    Entry* entry = accounts_.Find(grant.partner);
    if (!entry) continue;
    const Span lifetime =
        std::min<Span>(milliseconds(grant.lifetime_ms), options_.timings.max_grant_lifetime);
    const Time expires_at = requested_at->second + lifetime;
    if (!entry->account.Accept(now, grant, {response.token, grant.number}, expires_at)) continue;
    acks.acks.push_back(entry->account.HeldGrant(now));
    acks.acks.back().partner = grant.partner;
    Activate(now, grant.partner, *entry);
    ReportSource(now, grant.partner, *entry, actions);
  }
  Send(allocator, acks, actions);
}

void Account::ReportSource(Time now, const std::string& partner, Entry& entry, AccountActions* actions) {
  using Source = PartnerAccount::Source;
  const Source source = entry.account.SourceAt(now);
  if (source == entry.reported_source) return;
  if (entry.reported_source == Source::kGrant && entry.account.Demand(now) > 0)
    actions->push_back(LogWarning{Failure(kNoAllocator, partner)});
  entry.reported_source = source;
  actions->push_back(
      SourceChanged{partner, source, entry.account.InForce(now), entry.account.HeldGrant(now).grant});
}

std::vector<AllocationRequest> Account::CollectRequests(Time now, AccountActions* actions) {
  using Urgency = PartnerAccount::RequestUrgency;
  std::vector<AllocationRequest> requests(options_.allocators, EmptyRequest(last_request_ + 1));
  const auto request_for = [&](const std::string& partner) -> AllocationRequest& {
    return requests[AllocatorOf(partner, options_.allocators)];
  };
  const auto add = [now](const std::string& partner, Entry& entry, AllocationRequest& request) {
    request.grant_requests.push_back(entry.account.MakeRequest(now));
    request.grant_requests.back().held_grant.partner = partner;
  };
  PartnerAccounts::ActiveEntries with_others;
  for (const auto& [partner, entry] : accounts_.active()) {
    ReportSource(now, partner, *entry, actions);
    const Urgency urgency = is_retired_ ? Urgency::kNone : entry->account.NextRequest(now);
    if (urgency == Urgency::kNow) add(partner, *entry, request_for(partner));
    if (urgency == Urgency::kWithOthers) with_others.emplace(partner, entry);
  }
  accounts_.DropIdle(now);
  for (const auto& [partner, entry] : with_others) {
    AllocationRequest& request = request_for(partner);
    if (!request.grant_requests.empty()) add(partner, *entry, request);
  }
  return requests;
}

void Account::Tick(Time now, AccountActions* actions) {
  if (now < next_) return;
  std::erase_if(request_times_, [&](const auto& request) {
    return now - request.second > options_.timings.max_grant_lifetime;
  });
  const std::vector<AllocationRequest> requests = CollectRequests(now, actions);
  const bool has_requests =
      std::any_of(requests.begin(), requests.end(),
                  [](const AllocationRequest& request) { return !request.grant_requests.empty(); });
  if (has_requests) request_times_.emplace(++last_request_, now);
  for (std::size_t allocator = 0; allocator < requests.size(); ++allocator)
    Send(allocator, requests[allocator], actions);
  if (now >= announce_at_) AnnounceRevision(now, actions);
  const bool is_idle = accounts_.active().empty();
  next_ = std::min(announce_at_, is_idle ? Time::max() : now + DemandEstimator::kBinWidth);
}

void Account::AnnounceRevision(Time now, AccountActions* actions) {
  for (std::size_t allocator = 0; allocator < options_.allocators; ++allocator)
    actions->push_back(SendRequest{allocator, EmptyRequest(last_request_)});
  announce_at_ = now + kAnnounceInterval;
}

void Account::OnRevisionAgreed(Time now) {
  if (is_agreed_) return;
  is_agreed_ = true;
  announce_at_ = Time::max();
  accounts_.UseConfiguredMinimums(now);
}

void Account::UpdateBudgets(Time now, std::shared_ptr<const Budgets> budgets, AccountActions* actions) {
  if (!accounts_.UpdateBudgets(now, std::move(budgets))) return;
  is_agreed_ = false;
  announce_at_ = now;
  next_ = std::min(next_, now);
  Tick(now, actions);
}

void Account::Retire(Time now) {
  is_retired_ = true;
  announce_at_ = Time::max();
  accounts_.Retire(now);
}

std::vector<PartnerAccountStatus> Account::Statuses(Time now) {
  std::vector<PartnerAccountStatus> statuses;
  for (const auto& [partner, entry] : accounts_.active()) {
    PartnerAccount& account = entry->account;
    statuses.push_back(
        {partner, account.SourceAt(now), account.InForce(now), account.HeldGrant(now), account.Demand(now)});
  }
  return statuses;
}

}  // namespace load_balancer::quota
