// SPDX-License-Identifier: Apache-2.0
//
/// @file
/// One partner's budget at one gateway: the token bucket, which follows the grant in force or the reserved
/// minimum, and when to request another grant.
#ifndef LOAD_BALANCER_QUOTA_PARTNER_ACCOUNT_H_
#define LOAD_BALANCER_QUOTA_PARTNER_ACCOUNT_H_

#include <optional>

#include "base/time.h"
#include "quota/amount.h"
#include "quota/bucket.h"
#include "quota/budget.h"
#include "quota/demand_estimator.h"
#include "quota/messages.h"

namespace load_balancer::quota {

/// The reserved minimum, which is in force from `available_from` on wherever no grant is.
struct ReservedMinimumTerms {
  Allocation usable;
  Allocation configured;  ///< By the budgets; usable once all gateways have them.
  Time available_from;
};

class PartnerAccount {
 public:
  /// Starts with an empty bucket at `since`, from which on `minimum` holds. `since` may be past.
  PartnerAccount(Time since, const ReservedMinimumTerms& minimum, const Timings& timings);

  /// What is in force.
  enum class Source { kNone, kReservedMinimum, kGrant };

  bool Charge(Time now, MilliUnits cost);
  void Credit(Time now, Time charged_at, MilliUnits cost);
  /// The time until `cost` fits if nothing else happens. Empty if neither a reserved minimum nor a grant is
  /// to come.
  std::optional<Span> TimeUntilAvailable(Time now, MilliUnits cost);

  /// Puts a grant in force in place of what is, unless it is no newer than one that was accepted before or
  /// has expired. The reserved minimum is lent from then on until the grant's expiry, even if another grant
  /// replaces this one. Returns whether the grant was accepted.
  bool Accept(Time now, const Grant& grant, const GrantId& id, Time expires_at);
  /// The grant in force, for a request or an acknowledgement; its id is zero if there is none.
  GrantAck HeldGrant(Time now) const;

  /// Changes the reserved minimum from `now` on. It stays lent for as long as was promised.
  void SetReservedMinimum(Time now, const Allocation& usable, const Allocation& configured);
  /// Does not use the reserved minimum before `until`.
  void LendReservedMinimum(Time until) { minimum_.available_from = std::max(minimum_.available_from, until); }
  const ReservedMinimumTerms& reserved_minimum() const { return minimum_; }

  /// How soon to request a grant: not now, along with other requests, or at once.
  enum class RequestUrgency { kNone, kWithOthers, kNow };
  /// A change of demand in either direction is urgent. A gateway that has less than it needs and no answer
  /// repeats its request each Timings::request_interval. One that has a grant by its last request renews it
  /// well before it expires, as an allocator that can grant more does so unasked.
  RequestUrgency NextRequest(Time now);
  /// Makes the request, which counts as sent.
  GrantRequest MakeRequest(Time now);
  /// The allocator has asked for a request.
  void OnRecall() { is_recalled_ = true; }
  /// Whether there is nothing to do until the next charge or recall.
  bool IsIdle(Time now);

  Source SourceAt(Time now) const;
  Allocation InForce(Time now) const;
  /// The estimated rate of the traffic, per second.
  MilliUnits Demand(Time now) { return demand_.Estimate(now); }

 private:
  // Applies the changes of what is in force that were due by `now` to the bucket.
  void Advance(Time now);
  void UpdateBucket(Time at);
  bool HasDemandShifted(MilliUnits demand, Time now);

  const Timings* timings_;
  ReservedMinimumTerms minimum_;
  Allocation grant_;
  GrantId grant_id_;  // of the newest grant accepted
  Time grant_expires_at_ = Time::min();
  Bucket bucket_;
  DemandEstimator demand_;
  bool is_recalled_ = false;
  bool is_answered_ = false;  // a grant was accepted since the last request
  Time requested_at_ = Time::min();
  MilliUnits requested_demand_ = 0;
};

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_PARTNER_ACCOUNT_H_
