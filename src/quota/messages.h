// SPDX-License-Identifier: Apache-2.0
//
/// @file
/// The messages between gateways and allocators. A message may be lost, repeated, delayed or reordered. One
/// message contains entries for many partners.
///
/// A gateway that has a grant lends its reserved minimum: it does not use the minimum until the grant
/// expires, so that the allocator can grant that part of the budget to other gateways.
#ifndef LOAD_BALANCER_QUOTA_MESSAGES_H_
#define LOAD_BALANCER_QUOTA_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "quota/amount.h"

namespace load_balancer::quota {

/// Identifies a grant of one lease. Grants are ordered by the allocator's fencing token, then by their
/// number.
struct GrantId {
  std::uint64_t token = 0;
  std::uint64_t number = 0;
  auto operator<=>(const GrantId&) const = default;
};

/// Acknowledges that the gateway has put a grant in force in place of all earlier grants. After sending
/// this message, the gateway does not use its reserved minimum for `lent_ms`, measured by its own clock.
struct GrantAck {
  std::string partner;
  GrantId grant;
  std::uint64_t lent_ms = 0;
};

/// Requests a grant for the partner that `held_grant` names.
struct GrantRequest {
  GrantAck held_grant;       ///< The grant in force; its id is zero if there is none.
  MilliUnits demand = 0;     ///< The estimated demand, per second.
  MilliUnits min_depth = 0;  ///< The largest recent cost. A grant of a smaller depth is useless.
};

/// Grants an allocation for `lifetime_ms` from the time of the gateway's request `request_number`.
struct Grant {
  std::string partner;
  std::uint64_t request_number = 0;
  std::uint64_t number = 0;  ///< Forms the grant's id together with the message's token.
  Allocation allocation;
  std::uint64_t lifetime_ms = 0;
};

/// The reserved minimum that the receiving gateway has in the allocator's budgets.
struct ReservedMinimum {
  std::string partner;
  Allocation allocation;
};

/// A message from a gateway to an allocator.
struct AllocationRequest {
  std::uint64_t incarnation = 0;  ///< The sending process, which must not use grants to other processes.
  std::uint64_t revision = 0;     ///< The revision of the sender's budgets.
  std::uint64_t number = 0;       ///< The request's number within this incarnation. Grants refer to it.
  std::vector<GrantRequest> grant_requests;
  std::vector<GrantAck> acks;
};

/// A message from an allocator to a gateway.
struct AllocationResponse {
  std::uint64_t incarnation = 0;  ///< The process that sent the request; 0 if there are only recalls.
  std::uint64_t revision = 0;     ///< The revision of the allocator's budgets.
  std::uint64_t token = 0;        ///< The allocator's fencing token.
  /// Whether all gateways have the revision and no grant of an earlier revision is in force.
  bool is_agreed = false;
  std::vector<Grant> grants;  ///< Empty if sender and receiver have different revisions.
  /// Partners whose reserved minimum at this gateway is needed by other gateways. This gateway should request
  /// a grant for each of them: while it has a grant, the allocator can lend its minimum to other gateways.
  std::vector<std::string> recalls;
  std::vector<ReservedMinimum> reserved_minimums;  ///< Empty if the revisions are equal.
};

/// The largest size of a message, in bytes of JSON text. The message is sent as MessagePack, which is shorter
/// and fits the payload of a datagram.
inline constexpr std::size_t kMaxMessageBytes = 1000;
inline constexpr std::size_t kMaxPartnerNameBytes = 64;

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_MESSAGES_H_
