// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// A process's snapshot: its form in a file, with a checksum that is verified before anything else is read.
/// The format is in docs/recovery.md.
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

/// Milliseconds since the Unix epoch, or a span of that many milliseconds.
using UnixMs = std::uint64_t;

inline constexpr std::uint64_t kFormatVersion = 1;
/// Largest file that is read as a snapshot.
inline constexpr std::size_t kMaxFileBytes = 64 * 1024 * 1024;

struct Snapshot {
  std::string name;            ///< of the process that wrote it
  std::uint64_t sequence = 0;  ///< grows with each snapshot written under the name
  UnixMs written_at = 0;
  nlohmann::json body;  ///< an object
};

/// Why a file is not used.
enum class SnapshotRejection {
  kAbsent,
  kUnreadable,
  kTruncated,
  kNotASnapshot,  ///< wrong magic number, or larger than kMaxFileBytes
  kChecksum,
  kMalformed,
  kOtherVersion,
  kOtherName,
  kFromFuture,
  kTooOld
};

/// The words for it in logs.
std::string_view Name(SnapshotRejection rejection);

/// The snapshots that a reader accepts.
struct AcceptanceCriteria {
  std::string name;  ///< of the process
  UnixMs now = 0;
  UnixMs max_age = 0;
  UnixMs max_clock_skew = 0;  ///< that the wall clock may have stepped back
};

std::vector<std::uint8_t> Encode(const Snapshot& snapshot);
std::variant<Snapshot, SnapshotRejection> Decode(std::span<const std::uint8_t> file,
                                                 const AcceptanceCriteria& criteria);

}  // namespace load_balancer::state

#endif  // LOAD_BALANCER_STATE_SNAPSHOT_H_
