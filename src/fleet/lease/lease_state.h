// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// What a member knows of one lease, as its candidate, holder or follower.
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

/// What this member is to a lease. Logs and operators' commands call it the role.
enum class LeaseStatus {
  kStandalone,  ///< No quorum: performs an available role without a lease ("alone").
  kHolder,      ///< Holds the lease.
  kFollower,    ///< Knows of another holder.
  kWaiting,     ///< Knows of no holder.
};
std::string_view Name(LeaseStatus status);

/// A release that is transmitted several times, since nobody answers it.
struct PendingRelease {
  FencingToken token = 0;
  int remaining_transmissions = 0;
  Time next_transmission{};
};

/// State of one lease; Leases changes it.
struct LeaseState {
  /// Whether the status changes at `until`. Nobody is standalone in an exclusive role.
  bool HasExpiry() const;
  /// By the clock rather than by the last tick: a stalled process must not act.
  LeaseStatus StatusAt(Time now) const;
  /// The earliest moment for the next request.
  Time NextAttemptAt() const;
  /// Whether the lease may be requested or renewed; not while a request is open.
  bool MayRequest(bool is_released) const;
  /// When something is due; Time::max() if nothing is.
  Time NextDeadline(bool is_released) const;
  /// As Leases::AppendFingerprint.
  void AppendFingerprint(Time now, Span term, std::vector<std::uint64_t>* words) const;

  std::string name;
  LeasedRoleKind kind = LeasedRoleKind::kExclusive;
  LeaseStatus status = LeaseStatus::kWaiting;
  std::string holder;              ///< Of the lease held or followed; empty before the first.
  FencingToken token = 0;          ///< Of the lease held or followed.
  FencingToken largest_token = 0;  ///< That this member has seen, granted or not.
  Time until{};                    ///< End of the lease held or followed, or of the wait.
  Time next_attempt{};
  std::shared_ptr<HeldLease> held_lease;  ///< Null unless this member is the holder.
  Time effects_until{};                   ///< Of acts under leases of this member that are over.
  LeaseAcquisition acquisition;
  int failed_attempts = 0;  ///< In a row.
  PendingRelease pending_release;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_LEASE_LEASE_STATE_H_
