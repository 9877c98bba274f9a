// SPDX-License-Identifier: Apache-2.0
#include "model/overflow/servers.h"

#include <algorithm>

namespace load_balancer::model {
namespace {

constexpr std::chrono::milliseconds kMaxWait{100};
// Depth of the token bucket, as the time in seconds that its rate takes to fill it.
constexpr double kBucketSeconds = 0.1;

Moment Ms(double ms) {
  return std::chrono::duration_cast<Moment>(std::chrono::duration<double, std::milli>(ms));
}

}  // namespace

Servers::Servers(World& world, int cores, double offered_fraction)
    : world_(world),
      cores_(cores),
      offered_fraction_(offered_fraction),
      meter_(Time(world.now())),
      bucket_(Time(world.now())) {}

Moment Servers::Wait() const { return cores_ > 0 ? Ms(queued_ / cores_) : Moment::max(); }

bool Servers::ServeOwn(double work, Done done) {
  if (cores_ == 0 || Wait() > kMaxWait) return false;
  meter_.Admitted(Time(world_.now()), work);
  if (queue_.empty() && free() > 0) {
    Start(work, true, std::move(done));
    return true;
  }
  queued_ += work;
  queue_.emplace_back(work, std::move(done));
  return true;
}

void Servers::UpdateBucket() {
  const Time now(world_.now());
  const double rate = offered_fraction_ * std::max(0.0, capacity() - meter_.Rate(now));
  bucket_.SetRate(now, rate, rate * kBucketSeconds);
}

bool Servers::CanServeForwarded(double work) {
  UpdateBucket();
  return queue_.empty() && free() > 0 &&
         bucket_.HasAtLeast(Time(world_.now()), std::min(work, bucket_.depth()));
}

bool Servers::ServeForwarded(double work, Done done) {
  if (!CanServeForwarded(work)) return false;
  bucket_.Take(work);
  Start(work, false, std::move(done));
  return true;
}

void Servers::Start(double work, bool is_own, Done done) {
  ++(is_own ? own_ : forwarded_);
  world_.At(world_.now() + Ms(work), [this, is_own, done = std::move(done)] {
    --(is_own ? own_ : forwarded_);
    done();
    while (!queue_.empty() && free() > 0) {
      auto [next_work, next_done] = std::move(queue_.front());
      queue_.pop_front();
      queued_ -= next_work;
      Start(next_work, true, std::move(next_done));
    }
  });
}

}  // namespace load_balancer::model
