// SPDX-License-Identifier: Apache-2.0
//
// What membership is set to, and the bounds that follow from it. They are argued in docs/fleet.md.
#ifndef LOAD_BALANCER_FLEET_MEMBERSHIP_OPTIONS_H_
#define LOAD_BALANCER_FLEET_MEMBERSHIP_OPTIONS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "fleet/wire/message.h"

namespace load_balancer::fleet {

inline constexpr int kMostHealth = 8;              // Lifeguard's S: the worst local health score
inline constexpr int kConfirmations = 3;           // Lifeguard's K
inline constexpr int kLongestSuspicion = 6;        // Lifeguard's beta: the longest over the shortest
inline constexpr std::size_t kMostMembers = 4096;  // entries of the table
inline constexpr std::size_t kLeaveFanout = 16;    // members told at once of a leave

struct MembershipOptions {
  std::string fleet, name;
  Udp::endpoint address;             // where others reach this member
  std::vector<Udp::endpoint> seeds;  // whom to ask first; may hold `address`
  std::chrono::milliseconds probe_interval{1000};
  int suspicion_multiplier = 4;
  int indirect_probes = 3;
  int retransmit_multiplier = 4;
  std::chrono::milliseconds sync_interval{10000};
  std::chrono::milliseconds forget_after{3600000};  // from dead or left until the entry is dropped
  std::uint64_t incarnation = 1;                    // to begin with
  std::uint64_t seed = 0;                           // for the order of probes
};

// The shortest suspicion in a fleet of `members`: multiplier x max(1, log10 n) probe intervals.
Span ShortestSuspicion(const MembershipOptions& options, std::size_t members);
// From a member's death until every other member holds it as dead, as long as no message is lost and no
// prober's health score is over 0: 2n intervals until it is probed and suspected, the longest suspicion, and
// the intervals that news may take.
Span DetectionBound(const MembershipOptions& options, std::size_t members);
// Times that a member passes each piece of news on: multiplier x ceil(log10(n + 1)).
int MostTransmits(const MembershipOptions& options, std::size_t members);

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_MEMBERSHIP_OPTIONS_H_
