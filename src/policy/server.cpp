// SPDX-License-Identifier: Apache-2.0
#include "policy/server.h"

#include <algorithm>
#include <cmath>

namespace load_balancer {
namespace {

constexpr double kSlownessGain = 0.08;     // weight of one response in the estimate
constexpr double kMaxSlowness = 8;         // largest value that one response counts as
constexpr Duration kSlownessMemory{4000};  // decay time of the estimate

}  // namespace

void ServerLoad::Add(double work, TimePoint now) {
  if (attempts_ == 0) silent_since_ = now;
  work_ += work;
  ++attempts_;
}

void ServerLoad::Remove(double work, bool responded, TimePoint now) {
  work_ -= work;
  if (responded) silent_since_ = now;
  --attempts_;
  if (attempts_ == 0) work_ = 0;  // prevents rounding errors from accumulating
}

void ServerLoad::MarkBodyComplete(TimePoint now) {
  if (attempts_ == 1) silent_since_ = now;
}

double Slowness::At(TimePoint now) const {
  return 1 + (value_ - 1) * std::exp((recorded_at_ - now) / kSlownessMemory);
}

void Slowness::Record(double relative, TimePoint now) {
  value_ = At(now);
  value_ += kSlownessGain * (std::min(kMaxSlowness, relative) - value_);
  recorded_at_ = now;
}

}  // namespace load_balancer
