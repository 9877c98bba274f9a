// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The kinds of failure between members of a fleet. Those of leases are in lease/failures.h.
#ifndef LOAD_BALANCER_FLEET_FAILURES_H_
#define LOAD_BALANCER_FLEET_FAILURES_H_

#include <array>

#include "base/error/failure.h"

namespace load_balancer::fleet {

inline constexpr FailureKind kAddressInUse{
    "FLEET-1", "the address among members is not to be had",
    "end the process that has it, unless an upgrade is under way; it is tried again every probe interval"};
inline constexpr FailureKind kDatagramsDropped{
    "FLEET-2", "datagrams were dropped",
    "bring all members to one version and name of the fleet and keep strangers off the port"};
inline constexpr FailureKind kStalled{
    "FLEET-3", "this process stood still",
    "see what else the machine runs; the member blames nobody for that time"};
inline constexpr FailureKind kDisplaced{"FLEET-4", "another process has this name at a newer incarnation",
                                        "give each process a name of its own and start this one again"};
inline constexpr FailureKind kEntryRejected{"FLEET-5", "an entry of the shared state was refused",
                                            "see in docs/fleet.md what the reason means, and look at the "
                                            "version and the clock of the member that it is from"};
inline constexpr FailureKind kBadListEntry{
    "FLEET-6", "an entry of the list of servers, made known by another member, is out of form",
    "bring all members to one version; the list that this process has stays in force"};

inline constexpr FailureKind kBandwidthLimitReached{
    "FLEET-7", "datagrams were not sent, as this process reached its own limit of bytes a second",
    "see in the line which kind took the bytes; raise most_bytes_per_second if it recurs"};

inline constexpr std::array kFleetFailures{
    &kAddressInUse, &kDatagramsDropped,     &kStalled, &kDisplaced, &kEntryRejected,
    &kBadListEntry, &kBandwidthLimitReached};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_FAILURES_H_
