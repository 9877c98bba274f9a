// SPDX-License-Identifier: Apache-2.0
#include "overflow/estimate_publisher.h"

#include <algorithm>
#include <cmath>

namespace load_balancer::overflow {
namespace {

// Longest wait that an estimate states. A site without servers states this wait as well.
constexpr Milliseconds kMaxWait{3600000};

std::uint64_t RoundDown(double value) { return static_cast<std::uint64_t>(std::max(0.0, std::floor(value))); }

}  // namespace

EstimatePublisher::EstimatePublisher(Options options, std::string site)
    : options_(options), site_(std::move(site)) {}

void EstimatePublisher::RecordMember(Time now, const std::string& member, const MemberSpareCapacity& spare) {
  members_[member] = {spare, now};
}

Estimate EstimatePublisher::AddUp(Time now, UnixMs wall, std::uint64_t token) {
  std::erase_if(members_,
                [&](const auto& each) { return now - each.second.received_at >= options_.staleness; });
  double mean = 0, low = 0;
  Milliseconds wait{0};
  for (const auto& [member, report] : members_) {
    mean += std::max(0.0, report.spare.mean);
    low += std::clamp(report.spare.low, 0.0, std::max(0.0, report.spare.mean));
    wait = std::max(wait, report.spare.wait);
  }
  Estimate e;
  e.site = site_;
  e.token = token;
  e.made_at = wall;
  e.low = RoundDown(low);
  over_.Update(now, e.low == 0);
  e.over = over_.over();
  e.for_ms =
      static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(over_.SettledFor(now)).count());
  e.mean = e.over ? 0 : RoundDown(mean);
  if (e.over) e.low = 0;
  e.wait_ms = static_cast<std::uint64_t>(std::clamp(wait, Milliseconds(0), kMaxWait).count());
  e.members = members_.size();
  return e;
}

}  // namespace load_balancer::overflow
