// SPDX-License-Identifier: Apache-2.0
//
// What a voter keeps on its disk, and what of it its next life may go on from once the voters have changed.
#ifndef LOAD_BALANCER_FLEET_LEASE_PERSISTED_VOTES_H_
#define LOAD_BALANCER_FLEET_LEASE_PERSISTED_VOTES_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/error/failure.h"
#include "fleet/lease/voter.h"

namespace load_balancer::fleet {

struct KeptVotes {
  std::vector<std::string> voters;  // of the life that kept them, as host:port, sorted
  StoredVotes votes;
};

nlohmann::json ToJson(const KeptVotes& kept);
// Throws nlohmann::json::exception on what is out of form.
KeptVotes KeptFromJson(const nlohmann::json& packed);

// The votes that bind a voter of the set `voters`, sorted: all of them. Refuses with kVotersLeapt if the sets
// differ by more than one voter.
Result<StoredVotes> Adopt(KeptVotes kept, const std::vector<std::string>& voters);

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_LEASE_PERSISTED_VOTES_H_
