// SPDX-License-Identifier: Apache-2.0
//
/// @file
/// What each gateway may have in force of one budget, from now until the last outstanding grant has expired,
/// and so how much more can be granted. Nothing counts as returned before it certainly is.
#ifndef LOAD_BALANCER_QUOTA_COMMITMENTS_H_
#define LOAD_BALANCER_QUOTA_COMMITMENTS_H_

#include <cstdint>
#include <map>
#include <vector>

#include "base/time.h"
#include "quota/messages.h"
#include "quota/reserved_minimums.h"

namespace load_balancer::quota {

/// A grant that may be in force at its gateway.
struct OutstandingGrant {
  std::uint64_t incarnation = 0;  ///< Of the gateway's process.
  GrantId id;
  Allocation allocation;
  Time sent_at;     ///< When the grant was sent, or a moment before.
  Time expires_at;  ///< By when it has certainly expired.
};

/// The outstanding grants of one budget. All times are of the allocator's clock, divided into slots of equal
/// length.
class Commitments {
 public:
  /// `max_clock_difference`: how much a gateway's clock may differ from this one over a grant's lifetime.
  Commitments(Span slot, Span max_clock_difference)
      : slot_(slot), max_clock_difference_(max_clock_difference) {}

  void Add(GatewayId gateway, const OutstandingGrant& grant);
  /// The gateway has put the grant in force. Earlier grants to the same incarnation are over, and its
  /// reserved minimum is lent for `lent_for` from then on, which was after the grant was sent. Does nothing
  /// for an unknown grant.
  void Acknowledge(GatewayId gateway, std::uint64_t incarnation, const GrantId& id, Span lent_for);
  /// Forgets what has expired.
  void Prune(Time now);

  /// What the gateway may have in force in the slot of `at`.
  Allocation At(GatewayId gateway, Time at, const Allocation& reserved_minimum) const;
  /// The same of grants to its processes other than `incarnation`.
  Allocation OfOtherIncarnations(GatewayId gateway, Time at, std::uint64_t incarnation) const;
  /// Until when the gateway has lent its reserved minimum; Time::min() if it has not.
  Time lent_until(GatewayId gateway) const;
  /// The newest grant to this incarnation that has not expired; null if there is none.
  const OutstandingGrant* Newest(GatewayId gateway, std::uint64_t incarnation) const;
  /// By when all grants have expired; `now` if there are none.
  Time LastExpiry(Time now) const;

  /// The sums of At over all gateways, for each slot that begins before `end`, from the one of `now` on.
  std::vector<Allocation> TotalsBySlot(Time now, Time end, const ReservedMinimums& minimums) const;
  Span slot() const { return slot_; }
  Time SlotBegin(Time at) const {
    return Time(slot_ * ((at.time_since_epoch() - kEarliest) / slot_) + kEarliest);
  }

 private:
  struct GatewayCommitment {
    std::vector<OutstandingGrant> grants;
    Time lent_until = Time::min();
  };
  // What may be in force of grants in the slot of `begin`, without those to `excluded_incarnation` if it is
  // not null.
  static Allocation Granted(const GatewayCommitment& commitment, Time begin,
                            const std::uint64_t* excluded_incarnation);
  // What may be in force in the slot of `begin`.
  Allocation InForce(const GatewayCommitment& commitment, Time begin,
                     const Allocation& reserved_minimum) const;
  // InForce has the same value for all slots that begin from `begin` to before the time returned.
  Time NextChange(const GatewayCommitment& commitment, Time begin) const;

  static constexpr Span kEarliest = Time::min().time_since_epoch() / 2;  // before all times that occur

  Span slot_;
  Span max_clock_difference_;
  std::map<GatewayId, GatewayCommitment> commitments_;
};

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_COMMITMENTS_H_
