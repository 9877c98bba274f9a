// SPDX-License-Identifier: Apache-2.0
//
// A machine's clocks as functions of true time.
#ifndef LOAD_BALANCER_MODEL_CLOCK_H_
#define LOAD_BALANCER_MODEL_CLOCK_H_

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "model/program.h"

namespace load_balancer::model {

inline constexpr std::uint64_t kWallStart = 1'800'000'000'000;  // Unix ms at the run's start

struct MachineClock {
  double rate = 1;           // of this machine's seconds to true ones
  Span offset{0};            // of the monotonic clock at the run's start
  std::int64_t wall_ms = 0;  // that the wall clock is ahead at the run's start

  Time At(Moment moment) const { return Time(offset + Since(moment)); }
  std::uint64_t WallAt(Moment moment) const {
    const auto since = std::chrono::floor<std::chrono::milliseconds>(Since(moment)).count();
    return kWallStart + static_cast<std::uint64_t>(since + wall_ms);
  }
  // The first moment at which At is `time` or later; zero for any time before the run.
  Moment When(Time time) const {
    const auto wanted = time.time_since_epoch() - offset;
    Moment moment(static_cast<Moment::rep>(static_cast<double>(wanted.count()) / rate));
    while (At(moment) < time) ++moment;
    return std::max(moment, Moment(0));
  }

 private:
  // As a drift, so that a rate of 1 is exact however long the run.
  Moment Since(Moment moment) const {
    return moment + Moment(std::llround(static_cast<double>(moment.count()) * (rate - 1)));
  }
};

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_CLOCK_H_
