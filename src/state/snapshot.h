// SPDX-License-Identifier: Apache-2.0
//
// A process's snapshot on disk: written whole or not at all, and verified before a byte of it is believed.
// The format and the order of the writes are in docs/recovery.md.
#ifndef LOAD_BALANCER_STATE_SNAPSHOT_H_
#define LOAD_BALANCER_STATE_SNAPSHOT_H_

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace load_balancer::state {

using UnixMs = std::uint64_t;

inline constexpr std::uint64_t kFormatVersion = 1;
inline constexpr std::size_t kMostFile = 64 * 1024 * 1024;  // bytes; a larger file is no snapshot

struct Snapshot {
  std::string name;            // of the process that wrote it
  std::uint64_t sequence = 0;  // grows with each one written under the name
  UnixMs wall = 0;             // when it was written
  nlohmann::json body;
};

enum class Refusal {
  kAbsent,
  kUnreadable,
  kTorn,
  kNoSnapshot,
  kChecksum,
  kMalformed,
  kVersion,
  kName,
  kFuture,
  kOld
};
std::string_view Name(Refusal refusal);

std::vector<std::uint8_t> Encode(const Snapshot& snapshot);

// What a reader takes.
struct Expected {
  std::string name;
  UnixMs now = 0;
  UnixMs most_age = 0;   // ms
  UnixMs most_skew = 0;  // ms that the wall clock may have stepped back
};
std::variant<Snapshot, Refusal> Decode(std::span<const std::uint8_t> file, const Expected& expected);

// One file, of at most kMostFile bytes.
std::variant<Snapshot, Refusal> ReadFile(const std::string& path, const Expected& expected);

// The points between two steps of a write, at which a crash may come.
enum class Step { kBegun, kWritten, kSynced, kSetAside, kRenamed, kDone };

// Puts `bytes` in the place of `path`, and what was there at `previous` if that is not empty. Throws
// std::system_error if it cannot; then the file in force is whole all the same. `at` is called at each step.
void WriteWhole(const std::string& path, const std::string& previous, std::span<const std::uint8_t> bytes,
                const std::function<void(Step)>& at = {});

// The newest of the two files of `path` that passes. `refused` is called for each that does not, but for one
// that is absent.
std::variant<Snapshot, Refusal> Recover(const std::string& path, const Expected& expected,
                                        const std::function<void(const std::string&, Refusal)>& refused);
std::string PreviousOf(const std::string& path);

}  // namespace load_balancer::state

#endif  // LOAD_BALANCER_STATE_SNAPSHOT_H_
