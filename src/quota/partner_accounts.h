// SPDX-License-Identifier: Apache-2.0
//
/// @file
/// The accounts of all partners at one gateway, and which of them there is something to do for.
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

/// A gateway's place among the configured ones.
struct GatewayPlace {
  std::string site;
  std::size_t gateways = 1;  ///< Configured gateways of the site.
};

class PartnerAccounts {
 public:
  struct Entry {
    PartnerAccount account;
    /// As last reported to the log.
    PartnerAccount::Source reported_source = PartnerAccount::Source::kNone;
    bool is_active = false;
  };
  /// Active entries by partner.
  using ActiveEntries = std::map<std::string, Entry*>;

  /// Reserved minimums are not used before a grant's lifetime and the clock drift have passed since `now`, as
  /// an earlier incarnation may have lent them. `timings` must outlive this.
  PartnerAccounts(GatewayPlace place, const Timings& timings, std::shared_ptr<const Budgets> budgets,
                  Time now);

  /// The entry of a partner, which is created at its first use; null if the partner has no budget.
  Entry* Find(std::string_view partner);
  /// The entry of a partner that was used before; null if there is none.
  Entry* FindExisting(std::string_view partner);
  /// Puts the entry among the active ones. Returns false if it was there.
  bool Activate(const std::string& partner, Entry& entry);
  /// Takes idle entries from among the active ones.
  void DropIdle(Time now);
  const ActiveEntries& active() const { return active_; }

  /// Replaces the budgets. A reserved minimum that differs is the smaller of both until
  /// UseConfiguredMinimums. Returns false, and changes no account, if the revision is the same.
  bool UpdateBudgets(Time now, std::shared_ptr<const Budgets> budgets);
  /// Uses the reserved minimums of the current budgets: all gateways have these.
  void UseConfiguredMinimums(Time now);
  /// Uses no reserved minimum from now on.
  void Retire(Time now);
  const Budgets& budgets() const { return *budgets_; }

 private:
  Allocation ReservedMinimum(const Budget& budget) const {
    return ReservedMinimumOf(budget, place_.site, place_.gateways);
  }
  Entry& Create(const std::string& partner, Time since, const Allocation& minimum, Time available_from);
  void DropWithoutBudget();
  void UpdateMinimum(Time now, const std::string& partner, const Budget* previous, const Budget& budget);

  const GatewayPlace place_;
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
