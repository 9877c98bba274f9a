// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The kinds of failure between members of a fleet. lease/failures.h defines the failures of leases.
#ifndef LOAD_BALANCER_FLEET_FAILURES_H_
#define LOAD_BALANCER_FLEET_FAILURES_H_

#include <array>

#include "base/error/failure.h"

namespace load_balancer::fleet {

inline constexpr FailureKind kAddressInUse{"FLEET-1", "the member address is not available",
                                           "unless an upgrade is in progress, end the process that uses it; "
                                           "this process retries every probe interval"};
inline constexpr FailureKind kDatagramsDropped{
    "FLEET-2", "datagrams were dropped",
    "run the same version and fleet name on all members, and block other senders from the port"};
inline constexpr FailureKind kStalled{
    "FLEET-3", "this process was stalled",
    "check the load of the machine; the member suspects no other member because of the stall"};
inline constexpr FailureKind kDisplaced{"FLEET-4", "another process has this name and a newer incarnation",
                                        "give each process a unique name and restart this one"};
inline constexpr FailureKind kEntryRejected{"FLEET-5", "an entry of the shared state was rejected",
                                            "look up the reason in docs/fleet.md, and check the version "
                                            "and the clock of the member that sent the entry"};
inline constexpr FailureKind kBadListEntry{
    "FLEET-6", "a server list entry that another member published is malformed",
    "run the same version on all members; this process keeps its current list"};

inline constexpr FailureKind kBandwidthLimitReached{
    "FLEET-7", "datagrams were not sent because this process reached its limit of bytes per second",
    "find in the line which kind of message used the bytes; raise most_bytes_per_second if it recurs"};

inline constexpr std::array kFleetFailures{
    &kAddressInUse, &kDatagramsDropped,     &kStalled, &kDisplaced, &kEntryRejected,
    &kBadListEntry, &kBandwidthLimitReached};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_FAILURES_H_
