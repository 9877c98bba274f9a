// SPDX-License-Identifier: Apache-2.0
#include "fleet/lease/vote_file.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <system_error>

#include "base/log.h"
#include "fleet/lease/failures.h"
#include "state/snapshot.h"

namespace brackenspoke::fleet {
namespace {

using nlohmann::json;

json Pack(const StoredVotes& votes) {
  json packed = json::object();
  for (const auto& [duty, vote] : votes) packed[duty] = {vote.holder, vote.token, vote.largest, vote.span_ms};
  return packed;
}

// Throws json::exception on what is out of form.
StoredVotes Unpack(const json& packed) {
  StoredVotes votes;
  for (const auto& [duty, vote] : packed.items())
    votes[duty] = {vote.at(0).get<std::string>(), vote.at(1).get<Token>(), vote.at(2).get<Token>(),
                   vote.at(3).get<std::uint64_t>()};
  return votes;
}

std::string Joined(const std::vector<std::string>& words) {
  std::string text;
  for (const std::string& word : words) text.append(text.empty() ? "" : " ").append(word);
  return text;
}

}  // namespace

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
  try {
    const auto before = snapshot.body.at("voters").get<std::vector<std::string>>();
    std::vector<std::string> differ;
    std::set_symmetric_difference(before.begin(), before.end(), voters_.begin(), voters_.end(),
                                  std::back_inserter(differ));
    if (differ.size() > 1) return tl::unexpected(Failure(kVotersLeapt, path_, "before: " + Joined(before)));
    sequence_ = snapshot.sequence;
    return Unpack(snapshot.body.at("votes"));
  } catch (const json::exception& error) {
    return tl::unexpected(Failure(kVotesRefused, path_, error.what()));
  }
}

bool VoteFile::Save(const StoredVotes& votes) {
  const json body{{"voters", voters_}, {"votes", Pack(votes)}};
  try {
    state::WriteWhole(path_, "", state::Encode({name_, sequence_ + 1, 0, body}));
    ++sequence_;
    return true;
  } catch (const std::system_error& error) {
    log::Error("fleet", Failure(kVoteNotKept, path_, error.what()));
    return false;
  }
}

}  // namespace brackenspoke::fleet
