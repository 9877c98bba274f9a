// SPDX-License-Identifier: Apache-2.0
#include "fleet/lease/vote_file.h"

#include <algorithm>
#include <limits>
#include <system_error>
#include <utility>

#include "base/log.h"
#include "fleet/lease/failures.h"
#include "fleet/lease/persisted_votes.h"
#include "state/snapshot_file.h"

namespace load_balancer::fleet {

VoteFile::VoteFile(std::string path, std::string process_name, std::vector<std::string> voters)
    : path_(std::move(path)), process_name_(std::move(process_name)), voters_(std::move(voters)) {
  std::sort(voters_.begin(), voters_.end());
}

Result<std::optional<StoredVotes>> VoteFile::Load() {
  // Votes expire by the monotonic clock, which starts anew after a restart, so a file of any age is accepted.
  constexpr auto kAnyAge = std::numeric_limits<state::UnixMs>::max() / 2;
  auto read = state::ReadFile(path_, {process_name_, kAnyAge, kAnyAge, kAnyAge});
  if (const auto* rejection = std::get_if<state::SnapshotRejection>(&read)) {
    if (*rejection == state::SnapshotRejection::kAbsent) return std::nullopt;
    return tl::unexpected(Failure(kVotesFileRejected, path_, std::string(state::Name(*rejection))));
  }
  const state::Snapshot& snapshot = std::get<state::Snapshot>(read);
  PersistedVotes persisted;
  try {
    persisted = PersistedVotesFromJson(snapshot.body);
  } catch (const nlohmann::json::exception& error) {
    return tl::unexpected(Failure(kVotesFileRejected, path_, error.what()));
  }
  const bool have_voters_changed = persisted.voters != voters_;
  auto votes = AdoptVotes(std::move(persisted), voters_);
  if (!votes) return tl::unexpected(Failure(votes.error().kind(), path_, votes.error().where()));
  last_sequence_ = snapshot.sequence;
  if (have_voters_changed) Save(*votes);
  return std::move(*votes);
}

bool VoteFile::Save(const StoredVotes& votes) {
  try {
    state::WriteAtomically(path_, "",
                           state::Encode({process_name_, last_sequence_ + 1, 0, ToJson({voters_, votes})}));
    ++last_sequence_;
    return true;
  } catch (const std::system_error& error) {
    log::Error("fleet", Failure(kVoteNotPersisted, path_, error.what()));
    return false;
  }
}

}  // namespace load_balancer::fleet
