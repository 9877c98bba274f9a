// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The persisted form of a voter's votes, and the check that they remain valid after a change of the voters.
#ifndef LOAD_BALANCER_FLEET_LEASE_PERSISTED_VOTES_H_
#define LOAD_BALANCER_FLEET_LEASE_PERSISTED_VOTES_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/error/failure.h"
#include "fleet/lease/voter.h"

namespace load_balancer::fleet {

/// Votes together with the configuration under which they were written.
struct PersistedVotes {
  /// Configured voters of the incarnation that wrote the votes, as sorted host:port.
  std::vector<std::string> voters;
  StoredVotes votes;
};

/// Returns the JSON document of `persisted`.
nlohmann::json ToJson(const PersistedVotes& persisted);
/// Parses a document written by ToJson. Throws nlohmann::json::exception if the document has another form.
PersistedVotes PersistedVotesFromJson(const nlohmann::json& document);

/// Returns all persisted votes. They also bind a voter that is now configured with the sorted set `voters`.
/// Fails with kVoterSetChangeTooLarge if the sets differ by more than one voter, because then a majority of
/// one set may share no voter with a majority of the other.
Result<StoredVotes> AdoptVotes(PersistedVotes persisted, const std::vector<std::string>& voters);

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_LEASE_PERSISTED_VOTES_H_
