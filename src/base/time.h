// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Points in time and durations of a monotonic clock, as code without a clock of its own receives them: those
/// of the process, or of a simulation.
#ifndef LOAD_BALANCER_BASE_TIME_H_
#define LOAD_BALANCER_BASE_TIME_H_

#include <chrono>

namespace load_balancer {

using Time = std::chrono::steady_clock::time_point;
using Span = std::chrono::steady_clock::duration;

}  // namespace load_balancer

#endif  // LOAD_BALANCER_BASE_TIME_H_
