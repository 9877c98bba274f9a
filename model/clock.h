// SPDX-License-Identifier: Apache-2.0
//
// The clocks of a machine as functions of true time.
#ifndef LOAD_BALANCER_MODEL_CLOCK_H_
#define LOAD_BALANCER_MODEL_CLOCK_H_

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "model/program.h"

namespace load_balancer::model {

inline constexpr std::uint64_t kWallStart = 1'800'000'000'000;  // wall clock at the run's start, in Unix ms

// Converts true time to the readings of a machine's monotonic clock and wall clock.
struct MachineClock {
  double rate = 1;                 // seconds of this machine per true second
  Span offset{0};                  // reading of the monotonic clock at the run's start
  std::int64_t wall_ahead_ms = 0;  // lead of the wall clock over true time at the run's start

  // Returns the reading of the monotonic clock.
  Time At(Moment moment) const { return Time(offset + ElapsedAt(moment)); }
  // Returns the reading of the wall clock in Unix milliseconds.
  std::uint64_t WallAt(Moment moment) const {
    const auto since = std::chrono::floor<std::chrono::milliseconds>(ElapsedAt(moment)).count();
    return kWallStart + static_cast<std::uint64_t>(since + wall_ahead_ms);
  }
  // Returns the first moment at which At returns `time` or later, or zero if that is before the run.
  Moment MomentOf(Time time) const {
    const auto wanted = time.time_since_epoch() - offset;
    Moment moment(static_cast<Moment::rep>(static_cast<double>(wanted.count()) / rate));
    while (At(moment) < time) ++moment;
    return std::max(moment, Moment(0));
  }

 private:
  // Returns the time that this machine has measured since the run's start. Adds the drift to `moment` instead
  // of multiplying by the rate, so that a rate of 1 is exact in runs of any length.
  Moment ElapsedAt(Moment moment) const {
    return moment + Moment(std::llround(static_cast<double>(moment.count()) * (rate - 1)));
  }
};

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_CLOCK_H_
