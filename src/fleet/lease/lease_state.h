// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The state of one lease at a member, which is a candidate for the lease, its holder or a follower.
#ifndef LOAD_BALANCER_FLEET_LEASE_LEASE_STATE_H_
#define LOAD_BALANCER_FLEET_LEASE_LEASE_STATE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "fleet/lease/acquisition.h"
#include "fleet/lease/fencing.h"
#include "fleet/lease/leased_role.h"
#include "fleet/lease/message.h"

namespace load_balancer::fleet {

/// The relation of this member to a lease. Logs and operators' commands call it `role`.
enum class LeaseStatus {
  kStandalone,  ///< Performs an available role without a lease, as there is no quorum ("alone").
  kHolder,      ///< Holds the lease.
  kFollower,    ///< Knows that another member holds the lease.
  kWaiting,     ///< Knows no holder.
};
/// Returns the status as it appears in logs and operators' commands.
std::string_view Name(LeaseStatus status);

/// A release that is transmitted several times, because voters do not acknowledge releases.
struct PendingRelease {
  FencingToken token = 0;
  int remaining_transmissions = 0;
  Time next_transmission{};
};

/// The state of one lease, which Leases modifies.
struct LeaseState {
  /// Returns whether the status changes at `until`. A member that waits for an exclusive role keeps waiting,
  /// since it may not perform that role without a lease.
  bool HasExpiry() const;
  /// Returns the status at `now`, independently of the last tick, because a stalled process must not act.
  LeaseStatus StatusAt(Time now) const;
  /// Returns the earliest time of the next request.
  Time NextAttemptAt() const;
  /// Returns whether a request may be sent. Returns false for a follower, while another request is open, and
  /// if this member has released its leases (`is_released`).
  bool MayRequest(bool is_released) const;
  /// Returns when the next timer of this lease fires; Time::max() if no timer is set.
  Time NextDeadline(bool is_released) const;
  /// Appends all state of this lease that determines future behaviour, with times relative to `now`. The
  /// model checker uses it through Leases::AppendFingerprint.
  void AppendFingerprint(Time now, Span term, std::vector<std::uint64_t>* words) const;

  std::string name;
  LeasedRoleKind kind = LeasedRoleKind::kExclusive;
  LeaseStatus status = LeaseStatus::kWaiting;
  std::string holder;              ///< Holder of the lease held or followed; empty before the first lease.
  FencingToken token = 0;          ///< Token of the lease held or followed.
  FencingToken largest_token = 0;  ///< Largest token seen by this member, whether granted or not.
  Time until{};                    ///< End of the lease held or followed, or of the wait for a holder.
  Time next_attempt{};
  std::shared_ptr<HeldLease> held_lease;  ///< Null unless this member is the holder.
  Time effects_until{};  ///< End of the effects of actions under this member's former leases.
  LeaseAcquisition acquisition;
  int failed_attempts = 0;  ///< Consecutive failures, up to the limit of the backoff.
  PendingRelease pending_release;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_LEASE_LEASE_STATE_H_
