// SPDX-License-Identifier: Apache-2.0
#include "quota/bucket.h"

#include <limits>

namespace load_balancer::quota {

Bucket::FineUnits Bucket::LevelAt(Time now) const {
  const FineUnits elapsed_ns = (now - last_update_).count();
  if (elapsed_ns <= 0 || rate_ <= 0) return level_;
  const FineUnits headroom = depth_ - level_;
  return elapsed_ns > headroom / rate_ ? depth_ : level_ + elapsed_ns * rate_;
}

void Bucket::Advance(Time now) {
  level_ = LevelAt(now);
  last_update_ = std::max(last_update_, now);
  RecordHeadroom();
}

// Records the headroom in the current period. Between two records the bucket only fills, so the headroom is
// smallest at the later record.
void Bucket::RecordHeadroom() {
  const std::int64_t current = PeriodOf(last_update_);
  const std::int64_t oldest_kept = current - static_cast<std::int64_t>(kPeriods) + 1;
  for (std::int64_t period = std::max(newest_period_ + 1, oldest_kept); period <= current; ++period)
    MinHeadroom(period) = std::numeric_limits<FineUnits>::max();
  newest_period_ = current;
  MinHeadroom(current) = std::min(MinHeadroom(current), depth_ - level_);
}

void Bucket::SetAllocation(Time at, const Allocation& allocation) {
  Advance(at);
  rate_ = allocation.rate;
  depth_ = allocation.depth * kFineUnits;
  level_ = std::min(level_, depth_);
  RecordHeadroom();
}

bool Bucket::Charge(Time now, MilliUnits cost) {
  Advance(now);
  if (cost > level_ / kFineUnits) return false;
  level_ -= cost * kFineUnits;
  return true;
}

void Bucket::Credit(Time now, Time charged_at, MilliUnits cost) {
  Advance(now);
  const std::int64_t first = PeriodOf(charged_at);
  const std::int64_t last = newest_period_;
  if (first > last || last - first >= static_cast<std::int64_t>(kPeriods)) return;
  FineUnits credit = cost > depth_ / kFineUnits ? depth_ : cost * kFineUnits;
  for (std::int64_t period = first; period <= last; ++period) {
    credit = std::min(credit, MinHeadroom(period));
  }
  for (std::int64_t period = first; period <= last; ++period) {
    MinHeadroom(period) -= credit;
  }
  level_ += credit;
}

std::optional<Span> Bucket::TimeUntilAvailable(Time now, MilliUnits cost) const {
  const FineUnits level = LevelAt(now);
  if (cost <= level / kFineUnits) return Span(0);
  if (cost > depth_ / kFineUnits || rate_ <= 0) return std::nullopt;
  return Span((cost * kFineUnits - level + rate_ - 1) / rate_);
}

}  // namespace load_balancer::quota
