// SPDX-License-Identifier: Apache-2.0
//
// Stores a voter's votes on the disk of its machine. Each vote is on disk when Save returns.
#ifndef LOAD_BALANCER_MODEL_FLEET_VOTES_H_
#define LOAD_BALANCER_MODEL_FLEET_VOTES_H_

#include <algorithm>
#include <boost/asio/ip/udp.hpp>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fleet/lease/persisted_votes.h"
#include "model/program.h"

namespace load_balancer::model {

// The vote store of one voter in one pool.
class DiskVotes : public fleet::VoteStore {
 public:
  // `disk` must outlive this object. `pool` separates the votes of different pools on one disk.
  DiskVotes(std::map<std::string, std::string>& disk, std::size_t pool, const std::vector<Endpoint>& voters)
      : disk_(disk), key_(std::string("votes/").append(std::to_string(pool))) {
    for (const Endpoint& voter : voters)
      voters_.push_back(voter.address().to_string().append(":").append(std::to_string(voter.port())));
    std::sort(voters_.begin(), voters_.end());
  }

  // Returns the stored votes after AdoptVotes has adapted them to the current set of voters, as
  // VoteFile::Load does. Returns the error if AdoptVotes fails. Returns nothing if the disk is new; the votes
  // of earlier incarnations are then unknown.
  Result<std::optional<fleet::StoredVotes>> Load() {
    const auto found = disk_.find(key_);
    if (found == disk_.end()) return std::nullopt;
    auto persisted = fleet::PersistedVotesFromJson(nlohmann::json::parse(found->second));
    const bool voters_changed = persisted.voters != voters_;
    auto votes = fleet::AdoptVotes(std::move(persisted), voters_);
    if (!votes) return tl::unexpected(std::move(votes.error()));
    if (voters_changed) Save(*votes);
    return std::move(*votes);
  }
  bool Save(const fleet::StoredVotes& votes) override {
    disk_[key_] = fleet::ToJson({voters_, votes}).dump();
    return true;
  }

 private:
  std::map<std::string, std::string>& disk_;
  const std::string key_;
  std::vector<std::string> voters_;
};

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_FLEET_VOTES_H_
