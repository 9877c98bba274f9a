// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// A voter's votes in a file, in the checked format of snapshots (docs/recovery.md).
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
  /// `process_name` is stored in the file; `voters` are the configured ones as host:port, in any order.
  VoteFile(std::string path, std::string process_name, std::vector<std::string> voters);

  /// The votes of the incarnation before; nothing if there is no file. Fails with kVotesFileRejected if the
  /// file is damaged, and with kVoterSetLeap if its voters differ from the configured ones by more than one.
  /// Rewrites a file of other voters under the configured ones, so that the next change is compared with
  /// them.
  Result<std::optional<StoredVotes>> Load();

  /// Replaces the file, with fsync, and keeps no earlier version: a forgotten vote is worse than unknown
  /// votes.
  bool Save(const StoredVotes& votes) override;

 private:
  const std::string path_;
  const std::string process_name_;
  std::vector<std::string> voters_;  // sorted
  std::uint64_t last_sequence_ = 0;  // of the newest file that was read or written
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_LEASE_VOTE_FILE_H_
