// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The messages of the lease protocol between candidates, lease holders and voters.
#ifndef LOAD_BALANCER_FLEET_LEASE_MESSAGE_H_
#define LOAD_BALANCER_FLEET_LEASE_MESSAGE_H_

#include <cstdint>
#include <string>

namespace load_balancer::fleet {

/// Orders the leases of one role: a later lease has a larger token. 0 is no token.
using FencingToken = std::uint64_t;

/// A message about one lease. A candidate or holder requests, a voter grants or denies, and a candidate or
/// holder releases. On the wire (wire/encode.cpp) the fields are an array, and types and reasons are numbers:
/// both keep their order.
struct LeaseMessage {
  enum class Type { kRequest, kGrant, kDenial, kRelease };

  /// Why a voter denies a request.
  enum class DenialReason {
    kNone,              ///< The message is no denial.
    kLeaseHeld,         ///< Another lease is live, or the token is not larger than the largest granted.
    kGracePeriod,       ///< The voter may have granted in an incarnation of which it has no record.
    kTermMismatch,      ///< The voter has another lease term than the requester.
    kDriftMismatch,     ///< The voter has another bound on clock drift.
    kVoterSetMismatch,  ///< The voter has another set of voters.
    kNotPersisted,      ///< The voter could not store the vote.
    kTooManyLeases,     ///< The voter already stores votes on kMaxVotes leases.
  };

  Type type = Type::kRequest;
  std::string lease_name;  ///< Called `duty` in logs, files and operators' commands.
  /// What is requested, granted or released; in a denial the largest token that the voter has granted.
  FencingToken token = 0;
  std::string holder;                ///< The requester: the member's name and a mark of its incarnation.
  std::uint64_t retry_after_ms = 0;  ///< In a denial: until the voter may grant.
  FencingToken requested_token = 0;  ///< In a denial: the token of the request.
  /// Identifies a request within the requester's incarnation and is repeated in the answer; 0 if the sender's
  /// version does not number its requests.
  std::uint64_t request_number = 0;
  /// The terms of the requester in a request, those of the voter in a denial (LeaseTerms).
  std::uint64_t term_ms = 0, drift_ms = 0, voter_set_hash = 0;
  DenialReason denial_reason = DenialReason::kNone;
};

inline constexpr int kLeaseMessageTypes = 4;
inline constexpr int kDenialReasons = 8;

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_LEASE_MESSAGE_H_
