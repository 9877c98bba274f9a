// SPDX-License-Identifier: Apache-2.0
//
/// @file
/// A token bucket whose rate and depth may change (Turner, "New Directions in Communications", 1986). The
/// bucket counts in integers, so a charge succeeds from the exact nanosecond at which the bucket holds the
/// cost.
#ifndef LOAD_BALANCER_QUOTA_BUCKET_H_
#define LOAD_BALANCER_QUOTA_BUCKET_H_

#include <array>
#include <cstdint>
#include <optional>

#include "base/time.h"
#include "quota/amount.h"

namespace load_balancer::quota {

/// A token bucket. All times are readings of one clock. A time that lies before the last update counts as the
/// time of that update.
class Bucket {
 public:
  /// Creates an empty bucket of zero rate and depth.
  explicit Bucket(Time now) : last_update_(now) {}

  /// Sets the rate and depth from `at` on. Tokens that exceed the new depth are lost.
  void SetAllocation(Time at, const Allocation& allocation);

  /// Removes `cost`, which must be above 0, from the bucket if it holds that much at `now`. Returns whether
  /// the cost was removed.
  bool Charge(Time now, MilliUnits cost);

  /// Adds the charge of `cost` that was made at `charged_at` back to the bucket. The bucket then holds no
  /// more than if the charge had never been made: tokens that would have overflowed since the charge are
  /// lost. May add less than this limit allows, and adds nothing once the charge is older than about 2 s.
  void Credit(Time now, Time charged_at, MilliUnits cost);

  /// Returns the time from `now` until the bucket holds `cost`, provided that the bucket is neither charged
  /// nor given another allocation before then. Returns nothing if the bucket will never hold that much.
  std::optional<Span> TimeUntilAvailable(Time now, MilliUnits cost) const;

  Time last_update() const { return last_update_; }

 private:
  /// Billionths of a MilliUnit. A rate of 1 adds one billionth per nanosecond.
  using FineUnits = std::int64_t;
  static constexpr FineUnits kFineUnits = 1'000'000'000;  // per MilliUnit

  // To return a charge, the function Credit must know the smallest headroom (depth minus level) since the
  // charge. The bucket therefore records the smallest headroom of each period.
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
  std::int64_t newest_period_ = 0;  // the newest period with a recorded headroom
};

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_BUCKET_H_
