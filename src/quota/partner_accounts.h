// SPDX-License-Identifier: Apache-2.0
//
/// @file
/// The accounts of all partners at one gateway, and the subset of accounts that are active.
#ifndef LOAD_BALANCER_QUOTA_PARTNER_ACCOUNTS_H_
#define LOAD_BALANCER_QUOTA_PARTNER_ACCOUNTS_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "quota/budget.h"
#include "quota/partner_account.h"

namespace load_balancer::quota {

/// The site of a gateway.
struct GatewaySite {
  std::string site;          ///< The name of the site.
  std::size_t gateways = 1;  ///< The number of configured gateways of the site.
};

/// The accounts of all partners at one gateway. An account is active while it has traffic, a grant or an
/// unanswered recall.
class PartnerAccounts {
 public:
  struct Entry {
    PartnerAccount account;
    /// The source that was last written to the log.
    PartnerAccount::Source reported_source = PartnerAccount::Source::kNone;
    bool is_active = false;
  };
  /// Active entries by partner.
  using ActiveEntries = std::map<std::string, Entry*>;

  /// Creates the accounts at `now`. Reserved minimums are not used until a grant's lifetime and the clock
  /// drift have passed, because an earlier incarnation may have lent them. `timings` must outlive this
  /// object.
  PartnerAccounts(GatewaySite site, const Timings& timings, std::shared_ptr<const Budgets> budgets, Time now);

  /// Returns the entry of a partner. Creates the entry at the first call for the partner. Returns null if the
  /// partner has no budget.
  Entry* Find(std::string_view partner);
  /// Returns the entry of a partner that was used before; null if there is none.
  Entry* FindExisting(std::string_view partner);
  /// Makes the entry active. Returns false if it was active before.
  bool Activate(const std::string& partner, Entry& entry);
  /// Makes idle entries inactive.
  void DropIdle(Time now);
  const ActiveEntries& active() const { return active_; }

  /// Replaces the budgets. Where the old and the new reserved minimum differ, the smaller one applies until
  /// UseConfiguredMinimums is called. Returns false, and changes no account, if the revision is the same.
  bool UpdateBudgets(Time now, std::shared_ptr<const Budgets> budgets);
  /// Makes the reserved minimums of the current budgets usable. Call this function once all gateways have
  /// these budgets.
  void UseConfiguredMinimums(Time now);
  /// Sets all reserved minimums to zero from `now` on.
  void Retire(Time now);
  const Budgets& budgets() const { return *budgets_; }

 private:
  Allocation ReservedMinimum(const Budget& budget) const {
    return ReservedMinimumOf(budget, site_.site, site_.gateways);
  }
  Entry& Create(const std::string& partner, Time since, const Allocation& minimum, Time available_from);
  void DropWithoutBudget();
  void UpdateMinimum(Time now, const std::string& partner, const Budget* previous, const Budget& budget);

  const GatewaySite site_;
  const Timings& timings_;
  std::shared_ptr<const Budgets> budgets_;
  const Time started_at_;
  Time minimums_from_;
  std::map<std::string, Entry, std::less<>> entries_;
  ActiveEntries active_;
  bool is_retired_ = false;
};

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_PARTNER_ACCOUNTS_H_
