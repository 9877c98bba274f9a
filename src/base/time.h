// SPDX-License-Identifier: Apache-2.0
//
// Moments and spans as the parts without a clock are given them: of one process's monotonic clock, or of a
// virtual one.
#ifndef LOAD_BALANCER_BASE_TIME_H_
#define LOAD_BALANCER_BASE_TIME_H_

#include <chrono>

namespace load_balancer {

using Time = std::chrono::steady_clock::time_point;
using Span = std::chrono::steady_clock::duration;

}  // namespace load_balancer

#endif  // LOAD_BALANCER_BASE_TIME_H_
