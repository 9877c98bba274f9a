// SPDX-License-Identifier: Apache-2.0
//
/// @file
/// The gateway's side of quotas: whether a request is within its partner's budget, and what is requested of
/// the allocators. It is a function of its events, without clock or socket. docs/federation.md shows why the
/// gateways together never exceed a budget; docs/quota.md has the figures.
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

struct AccountOptions {
  std::string site;               ///< Of this gateway.
  std::size_t gateways = 1;       ///< Configured gateways of the site.
  std::uint64_t incarnation = 0;  ///< Of this process: not 0, and different from that of any earlier one.
  std::size_t allocators = 1;
  Timings timings;
};

/// How a request relates to its partner's budget.
enum class ChargeVerdict { kWithinBudget, kOverBudget, kNoBudget };

/// What was charged for a request. It is kept with the request in case that this is proven not to have run.
struct ChargeReceipt {
  std::string partner;
  Time charged_at;
  MilliUnits cost = 0;  ///< 0: nothing was charged.
};

struct ChargeResult {
  ChargeVerdict verdict = ChargeVerdict::kNoBudget;
  OverLimitAction over_limit_action = OverLimitAction::kMark;  ///< As the budget is configured.
  /// If over the budget: the time until this request would fit, as far as is known.
  Span retry_after{0};
  ChargeReceipt receipt;
};

/// Action: send the request to the current holder of the allocator's lease, or drop it if none is known.
struct SendRequest {
  std::size_t allocator = 0;
  AllocationRequest request;
};
/// Action: log that what is in force for the partner at this gateway has changed.
struct SourceChanged {
  std::string partner;
  PartnerAccount::Source source = PartnerAccount::Source::kNone;
  Allocation in_force;
  GrantId grant;  ///< Of Source::kGrant.
};
using AccountAction = std::variant<SendRequest, SourceChanged, LogWarning>;
using AccountActions = std::vector<AccountAction>;

/// What is in force for one partner at this gateway, for operators.
struct PartnerAccountStatus {
  std::string partner;
  PartnerAccount::Source source = PartnerAccount::Source::kNone;
  Allocation in_force;
  GrantAck held;
  MilliUnits demand = 0;  ///< Per second.
};

/// The account of one gateway. All times are of the process's monotonic clock, and must be read after the
/// event occurred: for a response, after it was read from the socket; for a charge, right before it.
class Account {
 public:
  /// Creates the account when a process starts, or when it takes the gateway's pool address over from another
  /// one. It has no grant, and no reserved minimum until a grant's lifetime and the clock drift have passed,
  /// as an earlier process may have lent it.
  Account(AccountOptions options, std::shared_ptr<const Budgets> budgets, Time now);

  /// Charges a request of `partner` that costs so many units: 1, or its hinted work in ms. Must be called
  /// once for each request, at the gateway that received it.
  ChargeResult Charge(Time now, std::string_view partner, double units);
  /// Returns the charge of a request that was rejected everywhere or is proven not to have run. Returns no
  /// more than could have been spent had it never come (see Bucket::Credit), so nothing after a grant that
  /// shrank the bucket.
  void Credit(Time now, const ChargeReceipt& receipt);

  /// Handles a response of the holder of the allocator's lease. Late, repeated and overtaken ones change
  /// nothing.
  void OnResponse(Time now, std::size_t allocator, const AllocationResponse& response,
                  AccountActions* actions);
  /// Requests what is due. Call it at Next() or soon after.
  void Tick(Time now, AccountActions* actions);
  Time Next() const { return next_; }

  /// Replaces the budgets. A reserved minimum that differs is the smaller of both until an allocator has
  /// heard from all gateways that they have the new ones.
  void UpdateBudgets(Time now, std::shared_ptr<const Budgets> budgets, AccountActions* actions);
  /// The process gives the gateway's pool address away: it lets its grants expire, and uses no reserved
  /// minimum from now on.
  void Retire(Time now);

  /// The status of the partners that have recent traffic or a grant.
  std::vector<PartnerAccountStatus> Statuses(Time now);
  const Budgets& budgets() const { return accounts_.budgets(); }
  /// Whether all gateways are known to have the current budgets.
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
  // The requests that are due, one for each allocator; empty ones among them.
  std::vector<AllocationRequest> CollectRequests(Time now, AccountActions* actions);
  void AnnounceRevision(Time now, AccountActions* actions);

  const AccountOptions options_;
  PartnerAccounts accounts_;
  Time next_ = Time::max();
  std::uint64_t last_request_ = 0;               // its number
  std::map<std::uint64_t, Time> request_times_;  // of requests whose grants may still be in force
  bool is_agreed_ = true;
  Time announce_at_ = Time::max();
  bool is_retired_ = false;
};

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_ACCOUNT_H_
