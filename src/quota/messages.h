// SPDX-License-Identifier: Apache-2.0
//
/// @file
/// The messages between gateways and allocators. Any of them may be lost, repeated, late or out of order. One
/// message carries entries for many partners.
#ifndef LOAD_BALANCER_QUOTA_MESSAGES_H_
#define LOAD_BALANCER_QUOTA_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "quota/amount.h"

namespace load_balancer::quota {

/// Orders all grants of one lease: by the allocator's fencing token, then by its count of grants.
struct GrantId {
  std::uint64_t token = 0;
  std::uint64_t number = 0;
  auto operator<=>(const GrantId&) const = default;
};

/// Acknowledges that the gateway has put a grant in force in place of all earlier ones, and that it does not
/// use its reserved minimum for `lent_ms` from the time of sending, by its own clock.
struct GrantAck {
  std::string partner;
  GrantId grant;
  std::uint64_t lent_ms = 0;
};

/// Requests a grant for the partner that `held` names.
struct GrantRequest {
  GrantAck held;             ///< The grant in force; its id is zero if there is none.
  MilliUnits demand = 0;     ///< Per second.
  MilliUnits min_depth = 0;  ///< The largest recent cost: a grant of less depth is of no use.
};

/// Grants an allocation for `lifetime_ms` from the time of the gateway's request `request_number`.
struct Grant {
  std::string partner;
  std::uint64_t request_number = 0;
  std::uint64_t number = 0;  ///< With the message's token this is the grant's id.
  Allocation allocation;
  std::uint64_t lifetime_ms = 0;
};

/// The gateway's reserved minimum by the allocator's budgets.
struct ReservedMinimum {
  std::string partner;
  Allocation allocation;
};

/// A message from a gateway to an allocator.
struct AllocationRequest {
  std::uint64_t incarnation = 0;  ///< Of the process, which must not use grants to another one.
  std::uint64_t revision = 0;     ///< Of its budgets.
  std::uint64_t number = 0;       ///< Counts the requests of this incarnation; grants refer to it.
  std::vector<GrantRequest> grant_requests;
  std::vector<GrantAck> acks;
};

/// A message from an allocator to a gateway.
struct AllocationResponse {
  std::uint64_t incarnation = 0;  ///< Of the request; 0 for recalls alone.
  std::uint64_t revision = 0;
  std::uint64_t token = 0;
  bool is_agreed = false;     ///< All gateways have the revision, and no grant by an earlier one is left.
  std::vector<Grant> grants;  ///< Empty where the revisions differ.
  /// Partners whose reserved minimum at this gateway is needed elsewhere: the gateway should request a grant.
  std::vector<std::string> recalls;
  std::vector<ReservedMinimum> reserved_minimums;  ///< Only where the revisions differ.
};

/// Bytes of a message as JSON text. The MessagePack form is shorter and fits the payload of a datagram.
inline constexpr std::size_t kMaxMessageBytes = 1000;
inline constexpr std::size_t kMaxPartnerNameBytes = 64;

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_MESSAGES_H_
