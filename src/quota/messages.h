// SPDX-License-Identifier: Apache-2.0
//
// What gateways and allocators say to each other, on the channel `quota` of the federation pool. One datagram
// carries what there is for many partners. Each message may be lost, repeated, late or out of order.
#ifndef LOAD_BALANCER_QUOTA_MESSAGES_H_
#define LOAD_BALANCER_QUOTA_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/error/failure.h"
#include "quota/amount.h"

namespace load_balancer::quota {

// Orders all grants of a duty: the allocator's fencing token, and its count of grants.
struct GrantId {
  std::uint64_t token = 0;
  std::uint64_t number = 0;
  auto operator<=>(const GrantId&) const = default;
};

// A gateway has taken this grant in place of all before it, and keeps its floor put away for `away_ms` from
// when it says so, by its own clock.
struct Ack {
  std::string partner;
  GrantId grant;
  std::uint64_t away_ms = 0;
};

// A gateway asks for a grant, and tells the grant that it has; `held.grant` is zero if it has none.
struct Ask {
  Ack held;          // its partner is the ask's
  Milli demand = 0;  // a second
  Milli least = 0;   // depth under which a grant is of no use: the largest cost met lately
};

// An allocator hands out a part for `life_ms` from the moment of the ask `ask`.
struct Grant {
  std::string partner;
  std::uint64_t ask = 0;
  std::uint64_t number = 0;  // with the message's token: which grant this is
  Part part;
  std::uint64_t life_ms = 0;
};

// What the allocator's budgets have as the gateway's floor.
struct Floor {
  std::string partner;
  Part part;
};

// From a gateway to an allocator.
struct Request {
  std::uint64_t life = 0;      // of the process: another one's grants are not its own
  std::uint64_t revision = 0;  // of its budgets
  std::uint64_t ask = 0;       // counts this life's requests; grants name it
  std::vector<Ask> asks;
  std::vector<Ack> acks;
};

// From an allocator to a gateway.
struct Answer {
  std::uint64_t life = 0;  // of the request; of calls alone 0
  std::uint64_t revision = 0;
  std::uint64_t token = 0;
  bool agreed = false;             // all gateways have the revision, and no grant of before is left
  std::vector<Grant> grants;       // none where the revisions differ
  std::vector<std::string> calls;  // partners whose floor here is wanted elsewhere: the gateway is to ask
  std::vector<Floor> floors;       // where the revisions differ
};

inline constexpr std::size_t kMostMessage =
    1000;  // bytes of JSON text, fewer of MessagePack, which fits a payload
inline constexpr std::size_t kMostPartner = 64;  // bytes of a partner's name

// Objects with keys of one letter, lists for what repeats. From... check all: unknown keys, missing ones,
// types, lengths and ranges; a failure is kBadMessage with `from` as its place.
nlohmann::json ToJson(const Request& request);
nlohmann::json ToJson(const Answer& answer);
Result<Request> RequestFromJson(const nlohmann::json& json, const std::string& from);
Result<Answer> AnswerFromJson(const nlohmann::json& json, const std::string& from);

// The same in as many messages as are needed for each to stay within kMostMessage; none for an empty one.
std::vector<Request> Split(const Request& request);
std::vector<Answer> Split(const Answer& answer);

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_MESSAGES_H_
