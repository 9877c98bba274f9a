// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Options of membership and the time bounds that result from them (docs/fleet.md).
#ifndef LOAD_BALANCER_FLEET_MEMBERSHIP_OPTIONS_H_
#define LOAD_BALANCER_FLEET_MEMBERSHIP_OPTIONS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "fleet/wire/message.h"

namespace load_balancer::fleet {

/// Lifeguard's S: the maximum, and worst, local health score.
inline constexpr int kMaxHealthScore = 8;
/// Lifeguard's K: number of confirmations that reduce a suspicion to its shortest timeout.
inline constexpr int kMaxConfirmations = 3;
/// Lifeguard's beta: ratio of the longest to the shortest suspicion timeout.
inline constexpr int kSuspicionTimeoutRatio = 6;
/// Maximum number of entries of the member table.
inline constexpr std::size_t kMaxMembers = 4096;
/// Maximum number of members to which a leaving member sends its leave directly.
inline constexpr std::size_t kLeaveFanout = 16;

/// Configuration of one member.
struct MembershipOptions {
  std::string fleet;                 ///< Name of the fleet. Messages of other fleets are dropped.
  std::string name;                  ///< Name of this member.
  Udp::endpoint address;             ///< Address at which other members reach this one.
  std::vector<Udp::endpoint> seeds;  ///< Members through which to join; may contain `address`.
  std::chrono::milliseconds probe_interval{1000};
  int suspicion_multiplier = 4;
  int indirect_probes = 3;  ///< Number of members that probe an unresponsive target on request.
  int retransmit_multiplier = 4;
  std::chrono::milliseconds sync_interval{10000};
  std::chrono::milliseconds forget_after{3600000};  ///< How long dead and left members stay in the table.
  std::uint64_t incarnation = 1;                    ///< Initial incarnation of this member.
  std::uint64_t seed = 0;                           ///< Seed of the random order of probes.
};

/// Returns Lifeguard's minimum suspicion timeout in a fleet of n = `members`: suspicion_multiplier *
/// max(1, log10(n)) probe intervals.
Span MinSuspicionTimeout(const MembershipOptions& options, std::size_t members);
/// Returns the maximum time from a member's death until every other member considers it dead. The bound holds
/// if no message is lost and all health scores are 0. It is the sum of 2n probe intervals until the member is
/// probed and suspected, the longest suspicion timeout, and the intervals that gossip takes.
Span DetectionBound(const MembershipOptions& options, std::size_t members);
/// Returns how often a member transmits each update: retransmit_multiplier * ceil(log10(n + 1)).
int MaxTransmissions(const MembershipOptions& options, std::size_t members);

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_MEMBERSHIP_OPTIONS_H_
