// SPDX-License-Identifier: Apache-2.0
//
/// @file
/// The gateway's part of quotas: decides whether a request is within its partner's budget, and requests
/// grants from the allocators. The account reads no clock and uses no socket: its state depends only on the
/// calls of its functions. docs/federation.md shows why the gateways together never exceed a budget.
/// docs/quota.md has measurements.
#ifndef LOAD_BALANCER_QUOTA_ACCOUNT_H_
#define LOAD_BALANCER_QUOTA_ACCOUNT_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "quota/messages.h"
#include "quota/partner_accounts.h"
#include "quota/warning.h"

namespace load_balancer::quota {

/// The identity of a gateway's process, and the settings of its account.
struct AccountOptions {
  std::string site;               ///< The site of this gateway.
  std::size_t gateways = 1;       ///< The number of configured gateways of the site.
  std::uint64_t incarnation = 0;  ///< Identifies this process: not 0, and never used by an earlier process.
  std::size_t allocators = 1;     ///< The number of allocators.
  Timings timings;
};

/// Whether a request is within its partner's budget, if the partner has one.
enum class ChargeVerdict { kWithinBudget, kOverBudget, kNoBudget };

/// The charge of a request. The caller stores the receipt with the request, so that the charge can be
/// returned if the request provably did not run.
struct ChargeReceipt {
  std::string partner;
  Time charged_at;
  MilliUnits cost = 0;  ///< 0 if nothing was charged.
};

/// The result of charging a request.
struct ChargeResult {
  ChargeVerdict verdict = ChargeVerdict::kNoBudget;
  OverLimitAction over_limit_action = OverLimitAction::kMark;  ///< The budget's setting.
  /// For a request over the budget: the estimated time until the budget would cover the request.
  Span retry_after{0};
  ChargeReceipt receipt;
};

/// Action: send the request to the current holder of the allocator's lease, or drop it if no holder is known.
struct SendRequest {
  std::size_t allocator = 0;
  AllocationRequest request;
};
/// Action: log that the partner's allocation at this gateway now has another source.
struct SourceChanged {
  std::string partner;
  PartnerAccount::Source source = PartnerAccount::Source::kNone;
  Allocation in_force;
  GrantId grant;  ///< The grant in force; zero unless the source is Source::kGrant.
};
using AccountAction = std::variant<SendRequest, SourceChanged, LogWarning>;
using AccountActions = std::vector<AccountAction>;

/// The allocation in force for one partner at this gateway, as shown to operators.
struct PartnerAccountStatus {
  std::string partner;
  PartnerAccount::Source source = PartnerAccount::Source::kNone;
  Allocation in_force;
  GrantAck held_grant;    ///< The grant in force; its id is zero if there is none.
  MilliUnits demand = 0;  ///< The estimated demand, per second.
};

/// The account of one gateway. All times are readings of the process's monotonic clock, taken after the event
/// occurred: for a response, after it was read from the socket; for a charge, right before the call.
class Account {
 public:
  /// Creates the account when a process starts, or when it takes over the gateway's pool address from another
  /// process. The account has no grant. It has no reserved minimum until a grant's lifetime and the clock
  /// drift have passed, because an earlier process may have lent that minimum to the allocator.
  Account(AccountOptions options, std::shared_ptr<const Budgets> budgets, Time now);

  /// Charges a request of `partner` that costs `units`: 1, or its hinted work in milliseconds. Must be called
  /// once for each request, at the gateway that received it.
  ChargeResult Charge(Time now, std::string_view partner, double units);
  /// Returns the charge of a request to the bucket if every server rejected the request, or if the request
  /// provably did not run. Afterwards the bucket holds no more than if the request had never arrived (see
  /// Bucket::Credit). If a grant with a smaller depth has discarded tokens since the charge, nothing is
  /// returned.
  void Credit(Time now, const ChargeReceipt& receipt);

  /// Handles a response of the holder of the allocator's lease. A response has no effect if it is late, was
  /// handled before or is older than a response that was handled before.
  void OnResponse(Time now, std::size_t allocator, const AllocationResponse& response,
                  AccountActions* actions);
  /// Appends to `actions` the requests that are due. Call this function at Next() or soon after.
  void Tick(Time now, AccountActions* actions);
  /// Returns the time at which to call Tick; Time::max() if nothing is due.
  Time Next() const { return next_; }

  /// Replaces the budgets. Where the old and the new reserved minimum differ, the smaller one applies until
  /// an allocator reports that all gateways have the new budgets.
  void UpdateBudgets(Time now, std::shared_ptr<const Budgets> budgets, AccountActions* actions);
  /// Called when the process hands the gateway's pool address to another process. The grants of this process
  /// expire without renewal, and it uses no reserved minimum from now on.
  void Retire(Time now);

  /// Returns the status of the partners that have recent traffic or a grant.
  std::vector<PartnerAccountStatus> Statuses(Time now);
  const Budgets& budgets() const { return accounts_.budgets(); }
  /// Returns whether all gateways are known to have the current budgets.
  bool is_agreed() const { return is_agreed_; }

 private:
  using Entry = PartnerAccounts::Entry;

  void Activate(Time now, const std::string& partner, Entry& entry);
  void ApplyNewerRevision(Time now, const AllocationResponse& response);
  void AcceptGrants(Time now, std::size_t allocator, const AllocationResponse& response,
                    AccountActions* actions);
  void OnRevisionAgreed(Time now);
  void ReportSource(Time now, const std::string& partner, Entry& entry, AccountActions* actions);
  AllocationRequest EmptyRequest(std::uint64_t number) const;
  // Returns one request per allocator. Requests without entries are not sent.
  std::vector<AllocationRequest> CollectRequests(Time now, AccountActions* actions);
  void AnnounceRevision(Time now, AccountActions* actions);

  const AccountOptions options_;
  PartnerAccounts accounts_;
  Time next_ = Time::max();
  std::uint64_t last_request_ = 0;  // number of the last request
  // The time of each request, by the request's number, for as long as its grants may be in force.
  std::map<std::uint64_t, Time> request_times_;
  bool is_agreed_ = true;
  Time announce_at_ = Time::max();
  bool is_retired_ = false;
};

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_ACCOUNT_H_
