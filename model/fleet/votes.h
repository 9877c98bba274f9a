// SPDX-License-Identifier: Apache-2.0
//
// A voter's votes on its machine's disk: kept as long as the disk is, written at once.
#ifndef BRACKENSPOKE_MODEL_FLEET_VOTES_H_
#define BRACKENSPOKE_MODEL_FLEET_VOTES_H_

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "fleet/lease/voter.h"

namespace brackenspoke::model {

class DiskVotes : public fleet::VoteStore {
 public:
  // `disk` outlives this; `pool` tells the votes of two pools apart.
  DiskVotes(std::map<std::string, std::string>& disk, std::size_t pool)
      : disk_(disk), key_(std::string("votes/").append(std::to_string(pool))) {}

  // Nothing if the disk is new: then it is not known what a life before has granted.
  std::optional<fleet::StoredVotes> Load() const {
    const auto found = disk_.find(key_);
    if (found == disk_.end()) return std::nullopt;
    fleet::StoredVotes votes;
    const auto all = nlohmann::json::parse(found->second);
    for (const auto& [duty, vote] : all.items())
      votes[duty] = {vote.at(0).get<std::string>(), vote.at(1).get<fleet::Token>(),
                     vote.at(2).get<fleet::Token>(), vote.at(3).get<std::uint64_t>()};
    return votes;
  }
  bool Save(const fleet::StoredVotes& votes) override {
    nlohmann::json all = nlohmann::json::object();
    for (const auto& [duty, vote] : votes)
      all[duty] = nlohmann::json::array({vote.holder, vote.token, vote.largest, vote.span_ms});
    disk_[key_] = all.dump();
    return true;
  }

 private:
  std::map<std::string, std::string>& disk_;
  const std::string key_;
};

}  // namespace brackenspoke::model

#endif  // BRACKENSPOKE_MODEL_FLEET_VOTES_H_
