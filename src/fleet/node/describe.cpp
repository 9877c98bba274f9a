// SPDX-License-Identifier: Apache-2.0
#include "fleet/node/describe.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <chrono>

namespace load_balancer::fleet {
namespace {

std::string LineOf(const Member& member, Time now) {
  const std::chrono::duration<double> age = now - member.since;
  return fmt::format("{} {} {} {:.1f}s", member.last.name, Name(member.last.state), member.last.incarnation,
                     age.count());
}

}  // namespace

std::string DescribeMembers(const Membership& membership, const TrafficCounters& counts, Time now) {
  std::string line = LineOf(membership.self(), now);
  for (const auto& [name, member] : membership.others()) line += ", " + LineOf(member, now);
  return line + fmt::format("; health={} sent={} bytes_sent={} received={} {}", membership.health(),
                            counts.sent, counts.bytes_sent, counts.received, FormatDropCounters(counts));
}

std::string DescribeState(const SharedState::Summary& all, int limit, int share) {
  std::string line = fmt::format(
      "verdicts={} newest_ms={} oldest_ms={}, affinity={} newest_ms={} oldest_ms={}, facts={}, limit={} "
      "share={}; refused",
      all.ejections.count, all.ejections.newest_age, all.ejections.oldest_age, all.affinities.count,
      all.affinities.newest_age, all.affinities.oldest_age, all.fenced_values, limit, std::max(0, share));
  for (int i = 0; i < kEntryRejections; ++i)
    line += fmt::format(" {}={}", Name(static_cast<EntryRejection>(i)),
                        all.rejected[static_cast<std::size_t>(i)]);
  return line;
}

}  // namespace load_balancer::fleet
