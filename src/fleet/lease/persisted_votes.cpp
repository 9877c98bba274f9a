// SPDX-License-Identifier: Apache-2.0
#include "fleet/lease/persisted_votes.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "fleet/lease/failures.h"

namespace load_balancer::fleet {
namespace {

using nlohmann::json;

std::string Joined(const std::vector<std::string>& words) {
  std::string text;
  for (const std::string& word : words) text.append(text.empty() ? "" : " ").append(word);
  return text;
}

}  // namespace

json ToJson(const KeptVotes& kept) {
  json votes = json::object();
  for (const auto& [duty, vote] : kept.votes)
    votes[duty] = json::array({vote.holder, vote.token, vote.largest, vote.span_ms});
  return {{"voters", kept.voters}, {"votes", std::move(votes)}};
}

KeptVotes KeptFromJson(const json& packed) {
  KeptVotes kept{packed.at("voters").get<std::vector<std::string>>(), {}};
  for (const auto& [duty, vote] : packed.at("votes").items())
    kept.votes[duty] = {vote.at(0).get<std::string>(), vote.at(1).get<Token>(), vote.at(2).get<Token>(),
                        vote.at(3).get<std::uint64_t>()};
  return kept;
}

Result<StoredVotes> Adopt(KeptVotes kept, const std::vector<std::string>& voters) {
  std::vector<std::string> differ;
  std::set_symmetric_difference(kept.voters.begin(), kept.voters.end(), voters.begin(), voters.end(),
                                std::back_inserter(differ));
  if (differ.size() > 1) return tl::unexpected(Failure(kVotersLeapt, "before: " + Joined(kept.voters)));
  return std::move(kept.votes);
}

}  // namespace load_balancer::fleet
