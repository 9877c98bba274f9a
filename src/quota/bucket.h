// SPDX-License-Identifier: Apache-2.0
//
// A token bucket whose rate and depth change over its life (Turner, "New Directions in Communications",
// 1986). In whole numbers: a charge fits exactly from the nanosecond on at which the bucket holds its cost.
#ifndef LOAD_BALANCER_QUOTA_BUCKET_H_
#define LOAD_BALANCER_QUOTA_BUCKET_H_

#include <array>
#include <cstdint>
#include <optional>

#include "base/time.h"
#include "quota/amount.h"

namespace load_balancer::quota {

// With all moments of one clock. A moment before an earlier one counts as the earlier one.
class Bucket {
 public:
  // Empty, of no rate and no depth.
  explicit Bucket(Time now) : last_(now) {}

  // From `at` on it fills at `part.rate` up to `part.depth`; what is over the new depth is lost.
  void Set(Time at, const Part& part);

  // Takes `cost` (over 0) at `now` if the bucket holds it.
  bool Charge(Time now, Milli cost);

  // Puts back as much of a charge of `cost` at `charged` as the bucket would hold more had it not been made:
  // what has run over since is gone. May put back less than that, never more; nothing after about 2 s.
  void Credit(Time now, Time charged, Milli cost);

  // How long from `now` until `cost` fits, if neither charge nor change comes between; nothing: never.
  std::optional<Span> Until(Time now, Milli cost) const;

  Time last() const { return last_; }

 private:
  using Fine = std::int64_t;  // billionths of a Milli: what a rate of 1 fills in a nanosecond
  static constexpr Fine kFine = 1'000'000'000;
  // The least room that the bucket had in each of the last generations, for Credit.
  static constexpr std::size_t kGenerations = 8;
  static constexpr std::int64_t kGenerationNs = 1 << 28;

  void Advance(Time now);
  Fine LevelAt(Time now) const;
  void NoteRoom();
  static std::int64_t GenerationOf(Time at) { return at.time_since_epoch().count() / kGenerationNs; }
  Fine& Room(std::int64_t generation) {
    return rooms_[static_cast<std::uint64_t>(generation) % kGenerations];
  }

  Time last_;
  Milli rate_ = 0;
  Fine level_ = 0, depth_ = 0;
  std::array<Fine, kGenerations> rooms_{};
  std::int64_t newest_ = 0;  // generation noted
};

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_BUCKET_H_
