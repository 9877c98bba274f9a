// SPDX-License-Identifier: Apache-2.0
#include "model/overflow/servers.h"

#include <algorithm>

namespace load_balancer::model {
namespace {

constexpr std::chrono::milliseconds kMostWait{100};
constexpr double kShareSeconds = 0.1;  // of its rate that the share of spilled work may gather

Moment Ms(double ms) {
  return std::chrono::duration_cast<Moment>(std::chrono::duration<double, std::milli>(ms));
}

}  // namespace

Servers::Servers(World& world, int cores, double most_part)
    : world_(world),
      cores_(cores),
      most_part_(most_part),
      meter_(Time(world.now())),
      share_(Time(world.now())) {}

Moment Servers::Wait() const { return cores_ > 0 ? Ms(queued_ / cores_) : Moment::max(); }

bool Servers::Own(double work, Done done) {
  if (cores_ == 0 || Wait() > kMostWait) return false;
  meter_.Admitted(Time(world_.now()), work);
  if (queue_.empty() && free() > 0) {
    Start(work, true, std::move(done));
    return true;
  }
  queued_ += work;
  queue_.emplace_back(work, std::move(done));
  return true;
}

void Servers::UpdateShare() {
  const Time now(world_.now());
  const double rate = most_part_ * std::max(0.0, capacity() - meter_.Rate(now));
  share_.Set(now, rate, rate * kShareSeconds);
}

bool Servers::Takes(double work) {
  UpdateShare();
  return queue_.empty() && free() > 0 && share_.Has(Time(world_.now()), std::min(work, share_.depth()));
}

bool Servers::Spilled(double work, Done done) {
  if (!Takes(work)) return false;
  share_.Take(work);
  Start(work, false, std::move(done));
  return true;
}

void Servers::Start(double work, bool own, Done done) {
  ++(own ? own_ : spilled_);
  world_.At(world_.now() + Ms(work), [this, own, done = std::move(done)] {
    --(own ? own_ : spilled_);
    done();
    while (!queue_.empty() && free() > 0) {
      auto [next, then] = std::move(queue_.front());
      queue_.pop_front();
      queued_ -= next;
      Start(next, true, std::move(then));
    }
  });
}

}  // namespace load_balancer::model
