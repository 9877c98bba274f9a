// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Encodes and decodes the snapshot of a process. The file has a checksum, which is verified before the
/// content is read. docs/recovery.md describes the format.
#ifndef LOAD_BALANCER_STATE_SNAPSHOT_H_
#define LOAD_BALANCER_STATE_SNAPSHOT_H_

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace load_balancer::state {

/// UnixMs is a time in milliseconds since the Unix epoch, or a duration in milliseconds.
using UnixMs = std::uint64_t;

/// Version of the file format.
inline constexpr std::uint64_t kFormatVersion = 1;
/// Maximum size of a snapshot file, in bytes.
inline constexpr std::size_t kMaxFileBytes = 64 * 1024 * 1024;

/// Snapshot is the state of a process at one time.
struct Snapshot {
  std::string name;            ///< name of the process that wrote the snapshot
  std::uint64_t sequence = 0;  ///< larger than that of every earlier snapshot of the process
  UnixMs written_at = 0;
  nlohmann::json body;  ///< must be an object
};

/// SnapshotRejection is the reason for which a file is not used.
enum class SnapshotRejection {
  kAbsent,        ///< the file does not exist
  kUnreadable,    ///< reading the file failed
  kTruncated,     ///< the file is not longer than the header
  kNotASnapshot,  ///< the magic number is wrong, or the file is larger than kMaxFileBytes
  kChecksum,      ///< the checksum does not match the content
  kMalformed,     ///< the content cannot be decoded
  kOtherVersion,  ///< the file has another format version
  kOtherName,     ///< another process wrote the file
  kFromFuture,    ///< the snapshot is ahead of the wall clock by more than max_clock_skew
  kTooOld         ///< the snapshot is older than max_age
};

/// Returns the name of a reason in log lines.
std::string_view Name(SnapshotRejection rejection);

/// AcceptanceCriteria determines which snapshots a reader accepts.
struct AcceptanceCriteria {
  std::string name;  ///< name of the process
  UnixMs now = 0;
  UnixMs max_age = 0;
  /// Maximum time by which a snapshot may be ahead of the wall clock, in milliseconds. The wall clock may
  /// have been set back after the snapshot was written.
  UnixMs max_clock_skew = 0;
};

/// Returns the bytes of a snapshot file.
std::vector<std::uint8_t> Encode(const Snapshot& snapshot);
/// Decodes the bytes of a file. Returns the snapshot, or the reason for which it is rejected.
std::variant<Snapshot, SnapshotRejection> Decode(std::span<const std::uint8_t> file,
                                                 const AcceptanceCriteria& criteria);

}  // namespace load_balancer::state

#endif  // LOAD_BALANCER_STATE_SNAPSHOT_H_
