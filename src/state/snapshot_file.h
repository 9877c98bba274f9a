// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Snapshot files on disk: read, recovered from the newer of two, and replaced atomically. The order of the
/// writes is in docs/recovery.md.
#ifndef LOAD_BALANCER_STATE_SNAPSHOT_FILE_H_
#define LOAD_BALANCER_STATE_SNAPSHOT_FILE_H_

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <variant>

#include "state/snapshot.h"

namespace load_balancer::state {

/// The file that keeps the snapshot before the one at `path`.
std::string PreviousPath(const std::string& path);

std::variant<Snapshot, SnapshotRejection> ReadFile(const std::string& path,
                                                   const AcceptanceCriteria& criteria);

/// Called for each file that is not used, unless it is absent.
using OnFileRejected = std::function<void(const std::string& path, SnapshotRejection rejection)>;

/// The acceptable snapshot with the larger sequence of `path` and its previous path; without one, why the
/// last file that is there was rejected.
std::variant<Snapshot, SnapshotRejection> Recover(const std::string& path, const AcceptanceCriteria& criteria,
                                                  const OnFileRejected& on_rejected);

/// The steps of a write, after each of which the process may crash.
enum class WriteStep { kOpened, kWritten, kSynced, kPreviousKept, kRenamed, kDone };

/// Replaces the file at `path` by `bytes` and keeps the file that was there at `previous`, if that is not
/// empty. Throws std::system_error on failure, after which a complete file is still in place. `on_step` is
/// called after each step.
void WriteAtomically(const std::string& path, const std::string& previous,
                     std::span<const std::uint8_t> bytes, const std::function<void(WriteStep)>& on_step = {});

}  // namespace load_balancer::state

#endif  // LOAD_BALANCER_STATE_SNAPSHOT_FILE_H_
