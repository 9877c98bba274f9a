// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The machine's wall clock, for times that machines compare with each other. It may step in either
/// direction.
#ifndef LOAD_BALANCER_BASE_WALL_CLOCK_H_
#define LOAD_BALANCER_BASE_WALL_CLOCK_H_

#include <chrono>
#include <cstdint>

namespace load_balancer {

/// Milliseconds since the Unix epoch.
inline std::uint64_t UnixMilliseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

}  // namespace load_balancer

#endif  // LOAD_BALANCER_BASE_WALL_CLOCK_H_
