// SPDX-License-Identifier: Apache-2.0
//
/// @file
/// One partner's budget at one gateway: a token bucket with the allocation of the grant in force or of the
/// reserved minimum, and the decision when to request another grant.
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

/// The reserved minimum of a gateway. From `available_from` on, it is in force whenever no grant is in force.
struct ReservedMinimumTerms {
  Allocation usable;
  Allocation configured;  ///< In the current budgets; usable once all gateways have them.
  Time available_from;
};

/// One partner's account at one gateway.
class PartnerAccount {
 public:
  /// Creates an account with an empty bucket at `since`, which may be in the past. `minimum` applies from
  /// then on. `timings` must outlive this object.
  PartnerAccount(Time since, const ReservedMinimumTerms& minimum, const Timings& timings);

  /// The source of the allocation in force.
  enum class Source { kNone, kReservedMinimum, kGrant };

  /// Charges `cost` if the bucket holds that much, and returns whether it did. Counts `cost` as demand in
  /// either case.
  bool Charge(Time now, MilliUnits cost);
  /// Adds a charge back to the bucket (see Bucket::Credit).
  void Credit(Time now, Time charged_at, MilliUnits cost);
  /// Returns the time until the bucket holds `cost`, provided that no other charge or grant comes before.
  /// Returns nothing if the bucket will not hold that much without a new grant.
  std::optional<Span> TimeUntilAvailable(Time now, MilliUnits cost);

  /// Puts a grant in force and returns true. Returns false and does nothing if the grant has expired or is
  /// not newer than all grants accepted before. The reserved minimum is lent until the grant expires, even if
  /// another grant replaces this one earlier.
  bool Accept(Time now, const Grant& grant, const GrantId& id, Time expires_at);
  /// Returns the grant in force, for use in a request or an acknowledgement. The partner's name is left
  /// empty. The id is zero if there is no grant.
  GrantAck HeldGrant(Time now) const;

  /// Changes the reserved minimum from `now` on. The time until which it is lent does not change.
  void SetReservedMinimum(Time now, const Allocation& usable, const Allocation& configured);
  /// Makes the reserved minimum unavailable until `until`.
  void LendReservedMinimum(Time until) { minimum_.available_from = std::max(minimum_.available_from, until); }
  const ReservedMinimumTerms& reserved_minimum() const { return minimum_; }

  /// How soon to request a grant: not now, only in a message that is sent for other partners anyway, or now.
  enum class RequestUrgency { kNone, kWithOthers, kNow };
  /// Returns how soon to request a grant. A rise or fall of demand is urgent. A gateway whose allocation
  /// is below its demand repeats its request every Timings::request_interval until it gets a response. After
  /// a response the gateway only renews its grant, well before the grant expires, because an allocator that
  /// can grant more does so without another request.
  RequestUrgency NextRequest(Time now);
  /// Returns the request to send, and records that it was sent at `now`.
  GrantRequest MakeRequest(Time now);
  /// Records that the allocator wants the gateway to request a grant.
  void OnRecall() { is_recalled_ = true; }
  /// Returns whether there is nothing to do until the next charge or recall.
  bool IsIdle(Time now);

  Source SourceAt(Time now) const;
  Allocation InForce(Time now) const;
  /// Returns the estimated demand, per second.
  MilliUnits Demand(Time now) { return demand_.Estimate(now); }

 private:
  // Applies to the bucket each change of the allocation in force that was due by `now`.
  void Advance(Time now);
  void UpdateBucket(Time at);
  bool HasDemandShifted(MilliUnits demand, Time now);

  const Timings* timings_;
  ReservedMinimumTerms minimum_;
  Allocation grant_;
  GrantId grant_id_;  // the id of the newest grant that was accepted
  Time grant_expires_at_ = Time::min();
  Bucket bucket_;
  DemandEstimator demand_;
  bool is_recalled_ = false;
  bool is_answered_ = false;  // whether a grant was accepted since the last request
  Time requested_at_ = Time::min();
  MilliUnits requested_demand_ = 0;
};

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_PARTNER_ACCOUNT_H_
