// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The kinds of failure of the snapshots that a process stores on disk.
#ifndef LOAD_BALANCER_STATE_FAILURES_H_
#define LOAD_BALANCER_STATE_FAILURES_H_

#include <array>

#include "base/error/failure.h"

namespace load_balancer::state {

inline constexpr FailureKind kSnapshotRejected{"STATE-1", "a snapshot was rejected",
                                               "ignore a single occurrence; if it recurs, look up the reason "
                                               "in docs/recovery.md and check the disk and the clock"};
inline constexpr FailureKind kSnapshotNotWritten{
    "STATE-2", "a snapshot was not written",
    "free space on the disk and check that the folder is writable; the previous snapshot remains usable"};
inline constexpr FailureKind kSnapshotIncomplete{"STATE-3", "a snapshot was restored only in part",
                                                 "no action is needed, as the process learns the rest again; "
                                                 "report it if the process was not just upgraded"};

inline constexpr std::array kStateFailures{&kSnapshotRejected, &kSnapshotNotWritten, &kSnapshotIncomplete};

}  // namespace load_balancer::state

#endif  // LOAD_BALANCER_STATE_FAILURES_H_
