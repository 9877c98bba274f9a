// SPDX-License-Identifier: Apache-2.0
//
// What candidates, holders and voters of a lease say to each other.
#ifndef LOAD_BALANCER_FLEET_LEASE_MESSAGE_H_
#define LOAD_BALANCER_FLEET_LEASE_MESSAGE_H_

#include <cstdint>
#include <string>

namespace load_balancer::fleet {

using Token = std::uint64_t;  // larger is newer; 0: none

// A candidate asks, a voter grants or denies, a holder or candidate gives back.
struct LeaseMessage {
  enum class Verb { kAsk, kGrant, kDeny, kRelease };
  // Of kDeny. kHeld: by a live lease, or the token is not larger than the largest; kSilent: the voter may
  // have granted in a life that it has forgotten; kTerm, kDrift, kVoters: the asker's figure is another than
  // the voter's; kDisk: the vote cannot be kept; kFull: votes of too many duties are kept.
  enum class Why { kNone, kHeld, kSilent, kTerm, kDrift, kVoters, kDisk, kFull };

  Verb verb = Verb::kAsk;
  std::string duty;
  Token token = 0;            // asked for, granted, given back; of kDeny the largest that the voter knows
  std::string holder;         // who asks: the member's name and a mark of this life of it
  std::uint64_t left_ms = 0;  // of kDeny: until the voter may grant
  Token asked = 0;            // of kDeny: what was asked for
  // Of kAsk, and repeated in what answers it: unique among the requests of the asker's life; 0: of a version
  // without numbers.
  std::uint64_t request = 0;
  // Of kAsk the asker's, of kDeny the voter's: term and drift bound, and VotersHash of the voters.
  std::uint64_t term_ms = 0, drift_ms = 0, voters = 0;
  Why why = Why::kNone;
};
inline constexpr int kLeaseVerbs = 4, kLeaseReasons = 8;

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_LEASE_MESSAGE_H_
