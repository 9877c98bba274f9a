// SPDX-License-Identifier: Apache-2.0
//
/// @file
/// A token bucket whose rate and depth may change (Turner, "New Directions in Communications", 1986). It
/// counts in integers: a charge fits exactly from the nanosecond on at which the bucket holds its cost.
#ifndef LOAD_BALANCER_QUOTA_BUCKET_H_
#define LOAD_BALANCER_QUOTA_BUCKET_H_

#include <array>
#include <cstdint>
#include <optional>

#include "base/time.h"
#include "quota/amount.h"

namespace load_balancer::quota {

/// All times are of one clock. A time before an earlier one counts as the earlier one.
class Bucket {
 public:
  /// Creates an empty bucket of zero rate and depth.
  explicit Bucket(Time now) : last_update_(now) {}

  /// Changes the rate and depth from `at` on. Tokens beyond the new depth are lost.
  void SetAllocation(Time at, const Allocation& allocation);

  /// Takes `cost`, which is above 0, if the bucket holds it at `now`.
  bool Charge(Time now, MilliUnits cost);

  /// Returns a charge of `cost` that was made at `charged_at`, as far as the bucket would hold more now had
  /// the charge never been made: what has overflowed since is lost. Returns possibly less than that, never
  /// more, and nothing after about 2 s.
  void Credit(Time now, Time charged_at, MilliUnits cost);

  /// The time from `now` until the bucket holds `cost`, if it is neither charged nor changed before. Empty if
  /// it never will.
  std::optional<Span> TimeUntilAvailable(Time now, MilliUnits cost) const;

  Time last_update() const { return last_update_; }

 private:
  /// Billionths of a MilliUnit: what a rate of 1 fills in a nanosecond.
  using FineUnits = std::int64_t;
  static constexpr FineUnits kFineUnits = 1'000'000'000;  // per MilliUnit

  // Credit needs the least headroom that the bucket had since a charge. It is recorded per period.
  static constexpr std::size_t kPeriods = 8;
  static constexpr std::int64_t kPeriodNs = 1 << 28;

  void Advance(Time now);
  FineUnits LevelAt(Time now) const;
  void RecordHeadroom();
  static std::int64_t PeriodOf(Time at) { return at.time_since_epoch().count() / kPeriodNs; }
  FineUnits& MinHeadroom(std::int64_t period) {
    return min_headroom_[static_cast<std::uint64_t>(period) % kPeriods];
  }

  Time last_update_;
  MilliUnits rate_ = 0;
  FineUnits level_ = 0;
  FineUnits depth_ = 0;
  std::array<FineUnits, kPeriods> min_headroom_{};
  std::int64_t newest_period_ = 0;  // the last one recorded
};

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_BUCKET_H_
