// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Messages of the lease protocol, which candidates, lease holders and voters exchange.
#ifndef LOAD_BALANCER_FLEET_LEASE_MESSAGE_H_
#define LOAD_BALANCER_FLEET_LEASE_MESSAGE_H_

#include <cstdint>
#include <string>

namespace load_balancer::fleet {

/// A number that orders the leases of one role: a later lease has a larger token. 0 means no token.
using FencingToken = std::uint64_t;

/// A message about one lease. Candidates and holders send requests and releases; voters send grants and
/// denials. On the wire (wire/encode.cpp) the fields form an array, and types and reasons are numbers, so the
/// order of fields, types and reasons must not change.
struct LeaseMessage {
  enum class Type { kRequest, kGrant, kDenial, kRelease };

  /// The reason for which a voter denies a request.
  enum class DenialReason {
    kNone,              ///< The message is not a denial.
    kLeaseHeld,         ///< Another lease is valid, or a token at least as large was granted before.
    kGracePeriod,       ///< The voter has no record of the votes of its previous incarnation.
    kTermMismatch,      ///< Voter and requester are configured with different lease terms.
    kDriftMismatch,     ///< Voter and requester have different bounds on clock drift.
    kVoterSetMismatch,  ///< Voter and requester have different sets of voters.
    kNotPersisted,      ///< The voter could not store the vote.
    kTooManyLeases,     ///< The voter already stores votes for kMaxVotes leases.
  };

  Type type = Type::kRequest;
  std::string lease_name;  ///< Logs, files and operators' commands call it `duty`.
  /// The token that is requested, granted or released. In a denial: the largest token that the voter granted.
  FencingToken token = 0;
  std::string holder;                ///< The requester's name with an identifier of its incarnation.
  std::uint64_t retry_after_ms = 0;  ///< In a denial: time until the voter may grant.
  FencingToken requested_token = 0;  ///< In a denial: the token of the request.
  /// Identifies a request of the requester's incarnation; the answer repeats it. 0 if the sender's version
  /// does not number requests.
  std::uint64_t request_number = 0;
  /// The LeaseTerms of the requester in a request, and of the voter in a denial.
  std::uint64_t term_ms = 0, drift_ms = 0, voter_set_hash = 0;
  DenialReason denial_reason = DenialReason::kNone;
};

inline constexpr int kLeaseMessageTypes = 4;
inline constexpr int kDenialReasons = 8;

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_LEASE_MESSAGE_H_
