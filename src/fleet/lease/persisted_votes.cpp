// SPDX-License-Identifier: Apache-2.0
#include "fleet/lease/persisted_votes.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "fleet/lease/failures.h"

namespace load_balancer::fleet {
namespace {

using nlohmann::json;

std::string JoinWithSpaces(const std::vector<std::string>& words) {
  std::string text;
  for (const std::string& word : words) text.append(text.empty() ? "" : " ").append(word);
  return text;
}

}  // namespace

json ToJson(const PersistedVotes& persisted) {
  json votes = json::object();
  for (const auto& [lease_name, vote] : persisted.votes)
    votes[lease_name] = json::array({vote.holder, vote.token, vote.largest_token, vote.duration_ms});
  return {{"voters", persisted.voters}, {"votes", std::move(votes)}};
}

PersistedVotes PersistedVotesFromJson(const json& document) {
  PersistedVotes persisted{document.at("voters").get<std::vector<std::string>>(), {}};
  for (const auto& [lease_name, vote] : document.at("votes").items())
    persisted.votes[lease_name] = {vote.at(0).get<std::string>(), vote.at(1).get<FencingToken>(),
                                   vote.at(2).get<FencingToken>(), vote.at(3).get<std::uint64_t>()};
  return persisted;
}

Result<StoredVotes> AdoptVotes(PersistedVotes persisted, const std::vector<std::string>& voters) {
  std::vector<std::string> differing;
  std::set_symmetric_difference(persisted.voters.begin(), persisted.voters.end(), voters.begin(),
                                voters.end(), std::back_inserter(differing));
  if (differing.size() > 1)
    return tl::unexpected(
        Failure(kVoterSetChangeTooLarge, "previous voters: " + JoinWithSpaces(persisted.voters)));
  return std::move(persisted.votes);
}

}  // namespace load_balancer::fleet
