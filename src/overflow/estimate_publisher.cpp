// SPDX-License-Identifier: Apache-2.0
#include "overflow/estimate_publisher.h"

#include <algorithm>
#include <cmath>

namespace load_balancer::overflow {
namespace {

constexpr Milliseconds kLongestWait{3600000};  // of one without servers, too

std::uint64_t Whole(double figure) { return static_cast<std::uint64_t>(std::max(0.0, std::floor(figure))); }

}  // namespace

Ambassador::Ambassador(Options options, std::string site) : options_(options), site_(std::move(site)) {}

void Ambassador::Heard(Time now, const std::string& member, const MemberSpare& spare) {
  members_[member] = {spare, now};
}

Estimate Ambassador::Sum(Time now, UnixMs wall, std::uint64_t token) {
  std::erase_if(members_, [&](const auto& each) { return now - each.second.at >= options_.staleness; });
  double mean = 0, low = 0;
  Milliseconds wait{0};
  for (const auto& [member, told] : members_) {
    mean += std::max(0.0, told.spare.mean);
    low += std::clamp(told.spare.low, 0.0, std::max(0.0, told.spare.mean));
    wait = std::max(wait, told.spare.wait);
  }
  Estimate e;
  e.site = site_;
  e.token = token;
  e.made_at = wall;
  e.low = Whole(low);
  over_.See(now, e.low == 0);
  e.over = over_.over();
  e.for_ms = static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(over_.Held(now)).count());
  e.mean = e.over ? 0 : Whole(mean);
  if (e.over) e.low = 0;
  e.wait_ms = static_cast<std::uint64_t>(std::clamp(wait, Milliseconds(0), kLongestWait).count());
  e.members = members_.size();
  return e;
}

}  // namespace load_balancer::overflow
