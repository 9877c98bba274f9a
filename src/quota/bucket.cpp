// SPDX-License-Identifier: Apache-2.0
#include "quota/bucket.h"

#include <limits>

namespace load_balancer::quota {

Bucket::Fine Bucket::LevelAt(Time now) const {
  const Fine ns = (now - last_).count();
  if (ns <= 0 || rate_ <= 0) return level_;
  const Fine room = depth_ - level_;
  return ns > room / rate_ ? depth_ : level_ + ns * rate_;
}

void Bucket::Advance(Time now) {
  level_ = LevelAt(now);
  last_ = std::max(last_, now);
  NoteRoom();
}

// Between two notes the bucket only fills, so the later one has the least room.
void Bucket::NoteRoom() {
  const std::int64_t generation = GenerationOf(last_);
  const auto kept = static_cast<std::int64_t>(kGenerations);
  for (std::int64_t g = std::max(newest_ + 1, generation - kept + 1); g <= generation; ++g)
    Room(g) = std::numeric_limits<Fine>::max();
  newest_ = generation;
  Room(generation) = std::min(Room(generation), depth_ - level_);
}

void Bucket::Set(Time at, const Part& part) {
  Advance(at);
  rate_ = part.rate;
  depth_ = part.depth * kFine;
  level_ = std::min(level_, depth_);
  NoteRoom();
}

bool Bucket::Charge(Time now, Milli cost) {
  Advance(now);
  if (cost > level_ / kFine) return false;
  level_ -= cost * kFine;
  return true;
}

void Bucket::Credit(Time now, Time charged, Milli cost) {
  Advance(now);
  const std::int64_t since = GenerationOf(charged);
  if (since > newest_ || newest_ - since >= static_cast<std::int64_t>(kGenerations)) return;
  Fine most = cost > depth_ / kFine ? depth_ : cost * kFine;
  for (std::int64_t g = since; g <= newest_; ++g) most = std::min(most, Room(g));
  for (std::int64_t g = since; g <= newest_; ++g) Room(g) -= most;
  level_ += most;
}

std::optional<Span> Bucket::Until(Time now, Milli cost) const {
  const Fine level = LevelAt(now);
  if (cost <= level / kFine) return Span(0);
  if (cost > depth_ / kFine || rate_ <= 0) return std::nullopt;
  return Span((cost * kFine - level + rate_ - 1) / rate_);
}

}  // namespace load_balancer::quota
