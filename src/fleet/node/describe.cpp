// SPDX-License-Identifier: Apache-2.0
#include "fleet/node/describe.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <chrono>

namespace load_balancer::fleet {
namespace {

std::string DescribeMember(const Member& member, Time now) {
  const std::chrono::duration<double> age = now - member.changed_at;
  return fmt::format("{} {} {} {:.1f}s", member.update.name, Name(member.update.state),
                     member.update.incarnation, age.count());
}

}  // namespace

std::string DescribeMembers(const Membership& membership, const TrafficCounters& counters, Time now) {
  std::string line = DescribeMember(membership.self(), now);
  for (const auto& [name, member] : membership.others()) line += ", " + DescribeMember(member, now);
  return line + fmt::format("; health={} sent={} bytes_sent={} received={} {}", membership.health(),
                            counters.sent, counters.bytes_sent, counters.received,
                            FormatDropCounters(counters));
}

std::string DescribeState(const SharedState::Summary& summary, int limit, int share) {
  const auto& [ejections, affinities, fenced_values, rejected] = summary;
  std::string line = fmt::format("verdicts={} newest_ms={} oldest_ms={}, ", ejections.count,
                                 ejections.newest_age, ejections.oldest_age);
  line += fmt::format("affinity={} newest_ms={} oldest_ms={}, ", affinities.count, affinities.newest_age,
                      affinities.oldest_age);
  line += fmt::format("facts={}, limit={} share={}; refused", fenced_values, limit, std::max(0, share));
  for (std::size_t i = 0; i < rejected.size(); ++i)
    line += fmt::format(" {}={}", Name(static_cast<EntryRejection>(i)), rejected[i]);
  return line;
}

}  // namespace load_balancer::fleet
