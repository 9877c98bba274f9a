// SPDX-License-Identifier: Apache-2.0
//
/// @file
/// Tracks how much of one budget each gateway may have in force, from now until the last outstanding grant
/// has expired. The rest of the budget can be granted. An amount that may or may not be in force counts as in
/// force.
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
  std::uint64_t incarnation = 0;  ///< The incarnation of the gateway's process.
  GrantId id;
  Allocation allocation;
  Time sent_at;     ///< When the grant was sent, or shortly before.
  Time expires_at;  ///< When the grant has certainly expired.
};

/// The outstanding grants of one budget. All times are readings of the allocator's clock. Time is divided
/// into slots of equal length.
class Commitments {
 public:
  /// `max_clock_difference` is the most by which a gateway's clock and the allocator's clock may diverge over
  /// a grant's lifetime.
  Commitments(Span slot, Span max_clock_difference)
      : slot_(slot), max_clock_difference_(max_clock_difference) {}

  /// Adds a grant to the gateway.
  void Add(GatewayId gateway, const OutstandingGrant& grant);
  /// Records that the gateway has put the grant in force. Earlier grants to the same incarnation are no
  /// longer in force. The gateway does not use its reserved minimum for the duration `lent_for`, which begins
  /// when the gateway sends the acknowledgement, that is, after the grant was sent. Does nothing if the grant
  /// is unknown.
  void Acknowledge(GatewayId gateway, std::uint64_t incarnation, const GrantId& id, Span lent_for);
  /// Removes expired grants.
  void Prune(Time now);

  /// Returns the allocation that the gateway may have in force during the slot that contains `at`.
  Allocation At(GatewayId gateway, Time at, const Allocation& reserved_minimum) const;
  /// Returns the sum of the grants that processes of the gateway other than `incarnation` may have in force
  /// during the slot that contains `at`.
  Allocation OfOtherIncarnations(GatewayId gateway, Time at, std::uint64_t incarnation) const;
  /// Returns the time until which the gateway does not use its reserved minimum; Time::min() if the gateway
  /// may use its reserved minimum now.
  Time lent_until(GatewayId gateway) const;
  /// Returns the newest unexpired grant to this incarnation; null if there is none.
  const OutstandingGrant* Newest(GatewayId gateway, std::uint64_t incarnation) const;
  /// Returns the time by which all grants have expired; `now` if there are no grants.
  Time LastExpiry(Time now) const;

  /// Returns the sum of At over all gateways for each slot, from the slot of `now` to the last slot that
  /// begins before `end`.
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
  // Returns the sum of the grants that may be in force in the slot that begins at `begin`. Leaves out grants
  // to `excluded_incarnation` if that pointer is not null.
  static Allocation Granted(const GatewayCommitment& commitment, Time begin,
                            const std::uint64_t* excluded_incarnation);
  // Returns the allocation that may be in force in the slot that begins at `begin`, the reserved minimum
  // included.
  Allocation InForce(const GatewayCommitment& commitment, Time begin,
                     const Allocation& reserved_minimum) const;
  // Returns a time after `begin`. InForce returns the same amount for all slots that begin between `begin`
  // and the returned time.
  Time NextChange(const GatewayCommitment& commitment, Time begin) const;

  static constexpr Span kEarliest = Time::min().time_since_epoch() / 2;  // earlier than all times in use

  Span slot_;
  Span max_clock_difference_;
  std::map<GatewayId, GatewayCommitment> commitments_;
};

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_COMMITMENTS_H_
