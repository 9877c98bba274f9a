// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Intervals of the lease protocol, as fractions and multiples of the lease term. docs/leases.md states the
/// bounds that follow from them.
#ifndef LOAD_BALANCER_FLEET_LEASE_TIMING_H_
#define LOAD_BALANCER_FLEET_LEASE_TIMING_H_

#include <chrono>

namespace load_balancer::fleet {

/// From a request that a majority has granted to the next one that renews the lease.
inline std::chrono::milliseconds RenewalInterval(std::chrono::milliseconds term) { return term / 3; }

/// How long a request may wait for a majority of grants; a voter counts on it, too.
inline std::chrono::milliseconds RequestTimeout(std::chrono::milliseconds term) { return term / 6; }

/// Between two transmissions of a request or a release: datagrams may be lost.
inline std::chrono::milliseconds RetransmitInterval(std::chrono::milliseconds term) { return term / 24; }

/// The least wait after a failed attempt; random jitter is added to it.
inline std::chrono::milliseconds MinBackoff(std::chrono::milliseconds term) { return term / 12; }

/// From losing sight of the holder to performing an available role without a lease.
inline std::chrono::milliseconds HolderLossTimeout(std::chrono::milliseconds term) { return 2 * term; }

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_LEASE_TIMING_H_
