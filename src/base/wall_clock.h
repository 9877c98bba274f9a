// SPDX-License-Identifier: Apache-2.0
//
// The machine's wall clock, for what machines compare between them; it may step either way.
#ifndef BRACKENSPOKE_BASE_WALL_CLOCK_H_
#define BRACKENSPOKE_BASE_WALL_CLOCK_H_

#include <chrono>
#include <cstdint>

namespace brackenspoke {

inline std::uint64_t UnixMilliseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

}  // namespace brackenspoke

#endif  // BRACKENSPOKE_BASE_WALL_CLOCK_H_
