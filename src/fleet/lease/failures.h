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
    "LEASE-1", "a voter has another lease term and grants nothing",
    "give all members the same lease_term_ms and restart the one that differs"};
inline constexpr FailureKind kDriftMismatch{
    "LEASE-2", "a voter has another drift bound and grants nothing",
    "give all members the same lease_drift_ms and restart the one that differs"};
inline constexpr FailureKind kVoterSetMismatch{
    "LEASE-3", "a voter has another set of voters and grants nothing",
    "give all members the same voters; while they are changed one by one, go on until all have them"};
inline constexpr FailureKind kVoterSetChangeTooLarge{
    "LEASE-4", "the voters differ from those of this process's votes by more than one, so it does not vote",
    "go back to the voters of before and change one at a time, with a wait, as docs/leases.md says"};
inline constexpr FailureKind kVoteNotPersisted{
    "LEASE-5", "a voter cannot keep a vote and grants nothing",
    "see that the voter's state folder can be written and has room"};
inline constexpr FailureKind kHeldByOtherMember{
    "LEASE-6", "another member holds the duty and alone takes this call", "make the call to that member"};
inline constexpr FailureKind kNoLeaseHolder{
    "LEASE-7", "nobody holds the duty, so nothing was changed",
    "call again in two terms; if that does not help, see in LEASES and MEMBERS that most voters are present"};
inline constexpr FailureKind kLeaseExpired{
    "LEASE-8", "an act came after its lease had ended and was refused",
    "none is needed, the next holder acts; look for stalls if it recurs"};
inline constexpr FailureKind kStaleToken{"LEASE-9",
                                         "an act came with an older token than the last and was refused",
                                         "none is needed, a newer holder acts; look for stalls if it recurs"};
inline constexpr FailureKind kVotesFileRejected{
    "LEASE-10", "the file of votes cannot be used, so this voter is silent for a term",
    "none is needed once; if it recurs, see whether the disk loses what it has synced"};

inline constexpr std::array kLeaseFailures{&kTermMismatch,           &kDriftMismatch,    &kVoterSetMismatch,
                                           &kVoterSetChangeTooLarge, &kVoteNotPersisted, &kHeldByOtherMember,
                                           &kNoLeaseHolder,          &kLeaseExpired,     &kStaleToken,
                                           &kVotesFileRejected};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_LEASE_FAILURES_H_
