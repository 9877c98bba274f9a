// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The failures of leases that are reported to operators.
#ifndef LOAD_BALANCER_FLEET_LEASE_FAILURES_H_
#define LOAD_BALANCER_FLEET_LEASE_FAILURES_H_

#include <array>

#include "base/error/failure.h"

namespace load_balancer::fleet {

inline constexpr FailureKind kTermMismatch{
    "LEASE-1", "a voter has a different lease term and denies all requests",
    "give all members the same lease_term_ms and restart the member that differs"};
inline constexpr FailureKind kDriftMismatch{
    "LEASE-2", "a voter has a different clock drift bound and denies all requests",
    "give all members the same lease_drift_ms and restart the member that differs"};
inline constexpr FailureKind kVoterSetMismatch{
    "LEASE-3", "a voter has a different set of voters and denies all requests",
    "give all members the same voters; during a change of voters, continue until all members have the new "
    "set"};
inline constexpr FailureKind kVoterSetChangeTooLarge{
    "LEASE-4",
    "the voters differ by more than one from the voters of the stored votes, so this process does not vote",
    "restore the previous voters and change one at a time, with a wait in between, as docs/leases.md says"};
inline constexpr FailureKind kVoteNotPersisted{
    "LEASE-5", "a voter cannot store a vote and denies the request",
    "make sure that the voter's state folder is writable and has free space"};
inline constexpr FailureKind kHeldByOtherMember{
    "LEASE-6", "another member holds the duty and is the only one to accept this call",
    "make the call to that member"};
inline constexpr FailureKind kNoLeaseHolder{"LEASE-7", "no member holds the duty, so nothing was changed",
                                            "call again after two lease terms; if that fails, check in "
                                            "LEASES and MEMBERS that most voters are present"};
inline constexpr FailureKind kLeaseExpired{
    "LEASE-8", "an action arrived after its lease had ended and was rejected",
    "none is needed, as the next holder acts; look for stalls if it recurs"};
inline constexpr FailureKind kStaleToken{
    "LEASE-9", "an action arrived with an older token than the last one and was rejected",
    "none is needed, as a newer holder acts; look for stalls if it recurs"};
inline constexpr FailureKind kVotesFileRejected{
    "LEASE-10", "the file of votes cannot be used, so this voter grants nothing for a term",
    "none is needed the first time; if it recurs, check whether the disk loses synced data"};

inline constexpr std::array kLeaseFailures{&kTermMismatch,           &kDriftMismatch,    &kVoterSetMismatch,
                                           &kVoterSetChangeTooLarge, &kVoteNotPersisted, &kHeldByOtherMember,
                                           &kNoLeaseHolder,          &kLeaseExpired,     &kStaleToken,
                                           &kVotesFileRejected};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_LEASE_FAILURES_H_
