// SPDX-License-Identifier: Apache-2.0
//
/// @file
/// The budget allocator: while it holds its lease, it divides the budgets of the partners that hash to it
/// among the gateways, as grants that expire. It is a function of its events, without clock or socket.
/// docs/federation.md shows why the sum of the grants never exceeds a budget.
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

struct AllocatorOptions {
  std::size_t index = 0;       ///< Of this allocator; AllocatorDuty(index) is its lease.
  std::size_t allocators = 1;  ///< How many there are.
  SiteLayout layout;
  Timings timings;
};

/// Action: send the response to the pool address of the gateway.
struct SendResponse {
  std::string gateway;
  AllocationResponse response;
};
/// Action: log that this process holds the lease and issues its grants from now on.
struct TermBegan {
  std::size_t allocator = 0;
  std::uint64_t token = 0;
};
using AllocatorAction = std::variant<SendResponse, TermBegan, LogWarning>;
using AllocatorActions = std::vector<AllocatorAction>;

/// The state of one partner's budget, for operators.
struct PartnerBudgetStatus {
  std::string partner;
  MilliUnits rate = 0;                       ///< Of the budget.
  MilliUnits committed = 0;                  ///< Grants and reserved minimums that may be in force now.
  std::map<std::string, MilliUnits> demand;  ///< Of the gateways that requested a grant recently.
};

/// Issues the grants of one lease. All times are of the process's monotonic clock and must be read after the
/// event occurred: for a request, after it was read from the socket. The actions that OnRequest and Tick
/// append may be carried out at any later time.
class Allocator {
 public:
  Allocator(AllocatorOptions options, std::shared_ptr<const Budgets> budgets);

  /// Handles a request that came from the pool address of `gateway`. Does nothing if the proof no longer
  /// holds.
  void OnRequest(Time now, const fleet::LeaseProof& proof, const std::string& gateway,
                 const AllocationRequest& request, AllocatorActions* actions);
  /// Issues what is due. Call it at Next() or soon after, while the lease is held.
  void Tick(Time now, const fleet::LeaseProof& proof, AllocatorActions* actions);
  Time Next() const { return schedule_.empty() ? Time::max() : schedule_.begin()->due; }

  /// Replaces the budgets, after a reload of the configuration.
  void UpdateBudgets(std::shared_ptr<const Budgets> budgets);

  /// When the last outstanding grant expires; `now` if there is none. The lease must not be released before,
  /// as the next holder assumes that no grant is outstanding.
  Time GrantsExpireAt(Time now) const;

  /// The demand of each partner's gateways, for the next holder or process (see demand_ledger.h). It is a
  /// hint for dividing the first grants; safety does not depend on it.
  nlohmann::json Ledger(Time now) const;
  /// Loads a complete ledger, or nothing of it with kBadLedger. Skips gateways and partners that are not
  /// configured.
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
  Entry* Find(const std::string& partner);  // null: the partner has no budget of this lease
  void Schedule(const std::string& partner, Entry& entry);

  const AllocatorOptions options_;
  const GatewayRegistry gateways_;
  BudgetRevisions revisions_;
  GrantId last_grant_;                     // its token is the lease's
  std::map<std::string, Entry> partners_;  // kept across leases
  std::set<ScheduledPartner> schedule_;
  std::set<std::string> warned_;
};

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_ALLOCATOR_H_
