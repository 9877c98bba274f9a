// SPDX-License-Identifier: Apache-2.0
//
// A voter's votes on disk, in the snapshot's verified format (docs/recovery.md).
#ifndef LOAD_BALANCER_FLEET_LEASE_VOTE_FILE_H_
#define LOAD_BALANCER_FLEET_LEASE_VOTE_FILE_H_

#include <optional>
#include <string>
#include <vector>

#include "base/error/failure.h"
#include "fleet/lease/voter.h"

namespace load_balancer::fleet {

class VoteFile : public VoteStore {
 public:
  // `path` names the file and `name` the process; `voters` are those of its configuration, as host:port.
  VoteFile(std::string path, std::string name, std::vector<std::string> voters);

  // What a life before has kept; nothing where there is no file. Refuses with kVotesRefused a file that does
  // not pass, and with kVotersLeapt one of voters that differ from the configured ones by more than one. One
  // of other voters is kept anew under the configured ones, so that the next change is told from this one.
  Result<std::optional<StoredVotes>> Load();

  // Written whole and fsynced. The file of before is not kept: a vote forgotten is worse than none known.
  bool Save(const StoredVotes& votes) override;

 private:
  const std::string path_, name_;
  std::vector<std::string> voters_;  // sorted
  std::uint64_t sequence_ = 0;       // of the last one written
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_LEASE_VOTE_FILE_H_
