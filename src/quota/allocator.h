// SPDX-License-Identifier: Apache-2.0
//
/// @file
/// The budget allocator. Each partner belongs to one allocator, which is chosen by a hash of the partner's
/// name. While the allocator holds its lease, it divides the budgets of its partners among the gateways, by
/// issuing grants that expire. It reads no clock and uses no socket: its state depends only on the calls of
/// its functions. docs/federation.md shows why the sum of the grants never exceeds a budget.
#ifndef LOAD_BALANCER_QUOTA_ALLOCATOR_H_
#define LOAD_BALANCER_QUOTA_ALLOCATOR_H_

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/error/failure.h"
#include "fleet/lease/fencing.h"
#include "quota/messages.h"
#include "quota/partner_allocator.h"
#include "quota/warning.h"

namespace load_balancer::quota {

/// The identity of an allocator and its settings.
struct AllocatorOptions {
  std::size_t index = 0;       ///< The index of this allocator. Its lease is named AllocatorRoleName(index).
  std::size_t allocators = 1;  ///< The number of allocators.
  SiteLayout layout;
  Timings timings;
};

/// Action: send the response to the pool address of the gateway.
struct SendResponse {
  std::string gateway;
  AllocationResponse response;
};
/// Action: log that this process holds the lease and issues grants from now on.
struct TermBegan {
  std::size_t allocator = 0;
  std::uint64_t token = 0;
};
using AllocatorAction = std::variant<SendResponse, TermBegan, LogWarning>;
using AllocatorActions = std::vector<AllocatorAction>;

/// The state of one partner's budget, as shown to operators.
struct PartnerBudgetStatus {
  std::string partner;
  MilliUnits rate = 0;       ///< The rate of the budget.
  MilliUnits committed = 0;  ///< The rate of all grants and reserved minimums that may be in force now.
  /// The demand of each gateway that requested a grant recently, by the gateway's name.
  std::map<std::string, MilliUnits> demand;
};

/// Issues the grants of one lease. All times are readings of the process's monotonic clock, taken after the
/// event occurred: for a request, after it was read from the socket. The caller may carry out the actions
/// that OnRequest and Tick append at any later time.
class Allocator {
 public:
  Allocator(AllocatorOptions options, std::shared_ptr<const Budgets> budgets);

  /// Handles a request that came from the pool address of `gateway`. Does nothing if `proof`, which shows
  /// that this process holds the lease, is no longer valid.
  void OnRequest(Time now, const fleet::LeaseProof& proof, const std::string& gateway,
                 const AllocationRequest& request, AllocatorActions* actions);
  /// Issues the grants that are due. Call this function at Next() or soon after, while the lease is held.
  void Tick(Time now, const fleet::LeaseProof& proof, AllocatorActions* actions);
  /// Returns the time at which to call Tick; Time::max() if nothing is due.
  Time Next() const { return schedule_.empty() ? Time::max() : schedule_.begin()->due; }

  /// Replaces the budgets, after a reload of the configuration.
  void UpdateBudgets(std::shared_ptr<const Budgets> budgets);

  /// Returns the time at which the last outstanding grant expires; `now` if there is none. The lease must not
  /// be released earlier, because the next holder assumes that no grant is outstanding.
  Time GrantsExpireAt(Time now) const;

  /// Returns the demand of each partner's gateways, for the next holder or process (see demand_ledger.h). The
  /// ledger helps to divide the first grants. No budget is exceeded if the ledger is wrong.
  nlohmann::json Ledger(Time now) const;
  /// Loads a complete ledger. If the ledger is malformed, fails with kBadLedger and loads nothing. Skips
  /// gateways and partners that are not configured.
  Result<void> Load(Time now, const nlohmann::json& ledger);

  std::vector<PartnerBudgetStatus> Statuses(Time now) const;

 private:
  struct Entry {
    PartnerAllocator allocator;
    Time scheduled = Time::max();
  };
  struct ScheduledPartner {
    Time due;
    std::string partner;
    auto operator<=>(const ScheduledPartner&) const = default;
  };

  void BeginTerm(const fleet::LeaseProof& guard, AllocatorActions* actions);
  void HandleEntries(Time now, GatewayId gateway, const AllocationRequest& request);
  void HandleOtherRevision(Time now, GatewayId gateway, const AllocationRequest& request,
                           AllocatorActions* actions);
  void WarnOnce(const std::string& key, const Failure& failure, AllocatorActions* actions);
  void IssueGrants(Time now, const fleet::LeaseProof& guard, AllocatorActions* actions);
  AllocationResponse EmptyResponse(Time now, std::uint64_t incarnation) const;
  // Returns null if the partner has no budget or belongs to another allocator.
  Entry* Find(const std::string& partner);
  void Schedule(const std::string& partner, Entry& entry);

  const AllocatorOptions options_;
  const GatewayRegistry gateways_;
  BudgetRevisions revisions_;
  GrantId last_grant_;                     // the token in this id is the lease's fencing token
  std::map<std::string, Entry> partners_;  // kept when the lease is lost and acquired again
  std::set<ScheduledPartner> schedule_;
  std::set<std::string> warned_;
};

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_ALLOCATOR_H_
