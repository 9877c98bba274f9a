// SPDX-License-Identifier: Apache-2.0
#include "quota/partner_accounts.h"

#include <utility>

namespace load_balancer::quota {

PartnerAccounts::PartnerAccounts(GatewaySite site, const Timings& timings,
                                 std::shared_ptr<const Budgets> budgets, Time now)
    : site_(std::move(site)),
      timings_(timings),
      budgets_(std::move(budgets)),
      started_at_(now),
      minimums_from_(now + timings.max_grant_lifetime + timings.clock_drift) {}

PartnerAccounts::Entry& PartnerAccounts::Create(const std::string& partner, Time since,
                                                const Allocation& minimum, Time available_from) {
  const ReservedMinimumTerms terms{minimum, minimum, available_from};
  return entries_.emplace(partner, Entry{PartnerAccount(since, terms, timings_)}).first->second;
}

PartnerAccounts::Entry* PartnerAccounts::FindExisting(std::string_view partner) {
  const auto found = entries_.find(partner);
  return found == entries_.end() ? nullptr : &found->second;
}

PartnerAccounts::Entry* PartnerAccounts::Find(std::string_view partner) {
  if (Entry* entry = FindExisting(partner)) return entry;
  const auto budget = budgets_->partners.find(partner);
  if (budget == budgets_->partners.end()) return nullptr;
  const Allocation minimum = is_retired_ ? Allocation{} : ReservedMinimum(budget->second);
  return &Create(budget->first, started_at_, minimum, minimums_from_);
}

bool PartnerAccounts::Activate(const std::string& partner, Entry& entry) {
  if (entry.is_active) return false;
  entry.is_active = true;
  active_.emplace(partner, &entry);
  return true;
}

void PartnerAccounts::DropIdle(Time now) {
  std::erase_if(active_, [now](const auto& active) {
    Entry& entry = *active.second;
    entry.is_active = !entry.account.IsIdle(now);
    return !entry.is_active;
  });
}

void PartnerAccounts::DropWithoutBudget() {
  std::erase_if(entries_, [this](const auto& entry) {
    const bool has_budget = budgets_->partners.contains(entry.first);
    if (!has_budget) active_.erase(entry.first);
    return !has_budget;
  });
}

bool PartnerAccounts::UpdateBudgets(Time now, std::shared_ptr<const Budgets> budgets) {
  const std::shared_ptr<const Budgets> previous = std::exchange(budgets_, std::move(budgets));
  if (previous->revision == budgets_->revision) return false;
  DropWithoutBudget();
  for (const auto& [partner, budget] : budgets_->partners) {
    const auto old = previous->partners.find(partner);
    UpdateMinimum(now, partner, old == previous->partners.end() ? nullptr : &old->second, budget);
  }
  return true;
}

void PartnerAccounts::UpdateMinimum(Time now, const std::string& partner, const Budget* previous,
                                    const Budget& budget) {
  const Allocation configured = ReservedMinimum(budget);
  if (!previous) {
    // The partner may have had a budget in an earlier revision and may have lent its reserved minimum then.
    Create(partner, now, configured, now + timings_.max_grant_lifetime + timings_.clock_drift);
    return;
  }
  const Allocation before = ReservedMinimum(*previous);
  Entry* entry = FindExisting(partner);
  if (!entry && before == configured) return;
  if (!entry) entry = &Create(partner, started_at_, before, minimums_from_);
  PartnerAccount& account = entry->account;
  const Allocation usable = ElementwiseMin(account.reserved_minimum().usable, configured);
  account.SetReservedMinimum(now, usable, configured);
}

void PartnerAccounts::UseConfiguredMinimums(Time now) {
  for (auto& [partner, entry] : entries_) {
    const Allocation configured = entry.account.reserved_minimum().configured;
    entry.account.SetReservedMinimum(now, configured, configured);
  }
}

void PartnerAccounts::Retire(Time now) {
  is_retired_ = true;
  minimums_from_ = Time::max();
  for (auto& [partner, entry] : entries_) entry.account.SetReservedMinimum(now, {}, {});
}

}  // namespace load_balancer::quota
