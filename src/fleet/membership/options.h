// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Options of membership and the bounds that follow from them (docs/fleet.md).
#ifndef LOAD_BALANCER_FLEET_MEMBERSHIP_OPTIONS_H_
#define LOAD_BALANCER_FLEET_MEMBERSHIP_OPTIONS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "fleet/wire/message.h"

namespace load_balancer::fleet {

/// Lifeguard's S: the worst local health score.
inline constexpr int kMaxHealthScore = 8;
/// Lifeguard's K: confirmations that bring a suspicion down to its shortest timeout.
inline constexpr int kMaxConfirmations = 3;
/// Lifeguard's beta: the longest suspicion timeout over the shortest.
inline constexpr int kSuspicionTimeoutRatio = 6;
/// Entries of the member table.
inline constexpr std::size_t kMaxMembers = 4096;
/// Members that are sent a leave directly.
inline constexpr std::size_t kLeaveFanout = 16;

struct MembershipOptions {
  std::string fleet;                 ///< Name of the fleet; messages of others are dropped.
  std::string name;                  ///< Of this member.
  Udp::endpoint address;             ///< Where others reach this member.
  std::vector<Udp::endpoint> seeds;  ///< Members to join through; may contain `address`.
  std::chrono::milliseconds probe_interval{1000};
  int suspicion_multiplier = 4;
  int indirect_probes = 3;  ///< Members asked to probe a target that has not answered.
  int retransmit_multiplier = 4;
  std::chrono::milliseconds sync_interval{10000};
  std::chrono::milliseconds forget_after{3600000};  ///< How long dead and left members stay in the table.
  std::uint64_t incarnation = 1;                    ///< The first one.
  std::uint64_t seed = 0;                           ///< Of the random order of probes.
};

/// Lifeguard's minimal suspicion timeout in a fleet of `members`: multiplier x max(1, log10 n) probe
/// intervals.
Span MinSuspicionTimeout(const MembershipOptions& options, std::size_t members);
/// From a member's death until every other member considers it dead, as long as no message is lost and no
/// prober's health score is over 0: 2n intervals until it is probed and suspected, the longest suspicion, and
/// the intervals that gossip may take.
Span DetectionBound(const MembershipOptions& options, std::size_t members);
/// How often a member transmits each update: multiplier x ceil(log10(n + 1)).
int MaxTransmissions(const MembershipOptions& options, std::size_t members);

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_MEMBERSHIP_OPTIONS_H_
