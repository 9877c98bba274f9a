// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Reads snapshot files, recovers the newer one of the current and the previous file, and replaces files
/// atomically. docs/recovery.md describes the order of the writes.
#ifndef LOAD_BALANCER_STATE_SNAPSHOT_FILE_H_
#define LOAD_BALANCER_STATE_SNAPSHOT_FILE_H_

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <variant>

#include "state/snapshot.h"

namespace load_balancer::state {

/// Returns the path of the file that stores the snapshot before the one at `path`.
std::string PreviousPath(const std::string& path);

/// Reads and decodes the file at `path`. Returns the snapshot, or the reason for which it is rejected.
std::variant<Snapshot, SnapshotRejection> ReadFile(const std::string& path,
                                                   const AcceptanceCriteria& criteria);

/// OnFileRejected is called for each file that exists and is not used.
using OnFileRejected = std::function<void(const std::string& path, SnapshotRejection rejection)>;

/// Reads the files at `path` and at PreviousPath(path). Returns the acceptable snapshot with the larger
/// sequence. If there is none, returns the reason for which the file at PreviousPath(path) was rejected or,
/// if that file does not exist, the reason for the file at `path`.
std::variant<Snapshot, SnapshotRejection> Recover(const std::string& path, const AcceptanceCriteria& criteria,
                                                  const OnFileRejected& on_rejected);

/// WriteStep is a step of WriteAtomically. A crash of the process after any step leaves a complete file.
enum class WriteStep { kOpened, kWritten, kSynced, kPreviousSaved, kRenamed, kDone };

/// Replaces the content of the file at `path` with `bytes`. Renames the old file to `previous`, unless
/// `previous` is empty. Throws std::system_error on failure, after which `path` or `previous` still holds a
/// complete file. Calls `on_step` after each step.
void WriteAtomically(const std::string& path, const std::string& previous,
                     std::span<const std::uint8_t> bytes, const std::function<void(WriteStep)>& on_step = {});

}  // namespace load_balancer::state

#endif  // LOAD_BALANCER_STATE_SNAPSHOT_FILE_H_
