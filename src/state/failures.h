// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The kinds of failure of the snapshots that a process stores on disk.
#ifndef LOAD_BALANCER_STATE_FAILURES_H_
#define LOAD_BALANCER_STATE_FAILURES_H_

#include <array>

#include "base/error/failure.h"

namespace load_balancer::state {

inline constexpr FailureKind kSnapshotRejected{"STATE-1", "a snapshot was not used",
                                               "none is needed once; if it recurs, see in docs/recovery.md "
                                               "what the reason means and look at the disk and the clock"};
inline constexpr FailureKind kSnapshotNotWritten{
    "STATE-2", "a snapshot was not written",
    "make room on the disk and see that its folder can be written; the one before stays in force"};
inline constexpr FailureKind kSnapshotIncomplete{
    "STATE-3", "a snapshot was not taken whole",
    "none is needed: what is missing is learnt again; report it if the process was not upgraded just now"};

inline constexpr std::array kStateFailures{&kSnapshotRejected, &kSnapshotNotWritten, &kSnapshotIncomplete};

}  // namespace load_balancer::state

#endif  // LOAD_BALANCER_STATE_FAILURES_H_
