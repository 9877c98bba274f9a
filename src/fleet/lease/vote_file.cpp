// SPDX-License-Identifier: Apache-2.0
#include "fleet/lease/vote_file.h"

#include <algorithm>
#include <limits>
#include <system_error>
#include <utility>

#include "base/log.h"
#include "fleet/lease/failures.h"
#include "fleet/lease/persisted_votes.h"
#include "state/snapshot.h"

namespace load_balancer::fleet {
VoteFile::VoteFile(std::string path, std::string name, std::vector<std::string> voters)
    : path_(std::move(path)), name_(std::move(name)), voters_(std::move(voters)) {
  std::sort(voters_.begin(), voters_.end());
}

Result<std::optional<StoredVotes>> VoteFile::Load() {
  // Of whatever age, and whatever the wall clock says: a vote is bound by the monotonic clock alone.
  constexpr auto kAny = std::numeric_limits<state::UnixMs>::max();
  auto read = state::ReadFile(path_, {name_, kAny / 2, kAny / 2, kAny / 2});
  if (const auto* why = std::get_if<state::Refusal>(&read)) {
    if (*why == state::Refusal::kAbsent) return std::nullopt;
    return tl::unexpected(Failure(kVotesRefused, path_, std::string(state::Name(*why))));
  }
  const state::Snapshot& snapshot = std::get<state::Snapshot>(read);
  KeptVotes kept;
  try {
    kept = KeptFromJson(snapshot.body);
  } catch (const nlohmann::json::exception& error) {
    return tl::unexpected(Failure(kVotesRefused, path_, error.what()));
  }
  const bool others = kept.voters != voters_;
  auto votes = Adopt(std::move(kept), voters_);
  if (!votes) return tl::unexpected(Failure(votes.error().kind(), path_, votes.error().where()));
  sequence_ = snapshot.sequence;
  if (others) Save(*votes);
  return std::move(*votes);
}

bool VoteFile::Save(const StoredVotes& votes) {
  try {
    state::WriteWhole(path_, "", state::Encode({name_, sequence_ + 1, 0, ToJson({voters_, votes})}));
    ++sequence_;
    return true;
  } catch (const std::system_error& error) {
    log::Error("fleet", Failure(kVoteNotKept, path_, error.what()));
    return false;
  }
}

}  // namespace load_balancer::fleet
