// SPDX-License-Identifier: Apache-2.0
//
// Moments and spans as the parts without a clock are given them: of one process's monotonic clock, or of a
// virtual one.
#ifndef BRACKENSPOKE_BASE_TIME_H_
#define BRACKENSPOKE_BASE_TIME_H_

#include <chrono>

namespace brackenspoke {

using Time = std::chrono::steady_clock::time_point;
using Span = std::chrono::steady_clock::duration;

}  // namespace brackenspoke

#endif  // BRACKENSPOKE_BASE_TIME_H_
