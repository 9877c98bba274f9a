// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Stores a voter's votes in a file, in the format of snapshots with checksum (docs/recovery.md).
#ifndef LOAD_BALANCER_FLEET_LEASE_VOTE_FILE_H_
#define LOAD_BALANCER_FLEET_LEASE_VOTE_FILE_H_

#include <optional>
#include <string>
#include <vector>

#include "base/error/failure.h"
#include "fleet/lease/voter.h"

namespace load_balancer::fleet {

/// A VoteStore that writes to a file.
class VoteFile : public VoteStore {
 public:
  /// `process_name` is stored in the file. `voters` are the configured voters as host:port, in any order.
  VoteFile(std::string path, std::string process_name, std::vector<std::string> voters);

  /// Returns the votes of the previous incarnation, or nothing if there is no file. Fails with
  /// kVotesFileRejected if the file is damaged, and with kVoterSetChangeTooLarge if its voters differ from
  /// the configured voters by more than one. If the voters differ, rewrites the file with the configured
  /// voters, so that the next change is compared with them.
  Result<std::optional<StoredVotes>> Load();

  /// Replaces the file and syncs it to disk. Keeps no earlier version: restoring one would lose votes
  /// unnoticed, while a missing file leads to a grace period.
  bool Save(const StoredVotes& votes) override;

 private:
  const std::string path_;
  const std::string process_name_;
  std::vector<std::string> voters_;  // sorted
  std::uint64_t last_sequence_ = 0;  // sequence number of the file last read or written
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_LEASE_VOTE_FILE_H_
