// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The persisted form of a voter's votes, and which of them bind it after the set of voters has changed.
#ifndef LOAD_BALANCER_FLEET_LEASE_PERSISTED_VOTES_H_
#define LOAD_BALANCER_FLEET_LEASE_PERSISTED_VOTES_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/error/failure.h"
#include "fleet/lease/voter.h"

namespace load_balancer::fleet {

struct PersistedVotes {
  std::vector<std::string> voters;  ///< The voter set of the incarnation that wrote this, host:port, sorted.
  StoredVotes votes;
};

nlohmann::json ToJson(const PersistedVotes& persisted);
/// Throws nlohmann::json::exception if `document` does not have the form that ToJson writes.
PersistedVotes PersistedVotesFromJson(const nlohmann::json& document);

/// The votes that bind a voter of the set `voters` (sorted): all of them. Fails with kVoterSetLeap if the
/// sets differ by more than one voter, since majorities of the two need not share a voter then.
Result<StoredVotes> AdoptVotes(PersistedVotes persisted, const std::vector<std::string>& voters);

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_LEASE_PERSISTED_VOTES_H_
