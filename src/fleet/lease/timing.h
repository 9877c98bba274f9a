// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Intervals of the lease protocol, which are fractions or multiples of the lease term. docs/leases.md states
/// the resulting time bounds.
#ifndef LOAD_BALANCER_FLEET_LEASE_TIMING_H_
#define LOAD_BALANCER_FLEET_LEASE_TIMING_H_

#include <chrono>

namespace load_balancer::fleet {

/// Returns the time between a request that a majority granted and the next renewal request.
inline std::chrono::milliseconds RenewalInterval(std::chrono::milliseconds term) { return term / 3; }

/// Returns the time in which a majority must grant a request. When a voter denies a request because of
/// another request's vote, it uses this time to tell the requester when to retry.
inline std::chrono::milliseconds RequestTimeout(std::chrono::milliseconds term) { return term / 6; }

/// Returns the time between two transmissions of a request or release, which are repeated because datagrams
/// may be lost.
inline std::chrono::milliseconds RetransmitInterval(std::chrono::milliseconds term) { return term / 24; }

/// Returns the minimum wait after a failed attempt. Random jitter is added to it.
inline std::chrono::milliseconds MinBackoff(std::chrono::milliseconds term) { return term / 12; }

/// Returns the time after which a member that knows no holder performs an available role without a lease.
inline std::chrono::milliseconds HolderLossTimeout(std::chrono::milliseconds term) { return 2 * term; }

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_LEASE_TIMING_H_
