// SPDX-License-Identifier: Apache-2.0
#include "fleet/state/state.h"

#include <algorithm>
#include <optional>

#include "fleet/state/anti_entropy.h"
#include "fleet/state/entry_codec.h"

namespace load_balancer::fleet {
namespace {

using nlohmann::json;

// Returns a range that contains every hash.
DigestRange FullRange() {
  DigestRange range;
  range.buckets.indices.set();
  range.last = range.first - 1;
  return range;
}

void AddToSummary(SharedState::KindSummary* summary, UnixMs age) {
  summary->newest_age = summary->count == 0 ? age : std::min(summary->newest_age, age);
  summary->oldest_age = std::max(summary->oldest_age, age);
  ++summary->count;
}

}  // namespace

Version SharedState::NextVersion(UnixMs now) { return {clock_.Now(now), options_.name}; }

void SharedState::Expire(UnixMs now) {
  tokens_.Expire(now);
  store_.Expire(now);
}

// Stores an entry. A fenced value with a new highest token erases the role's values with a smaller token.
// Members that receive the erased values later reject them, so all members store the same values.
void SharedState::Store(Entry entry) {
  if (const auto* fenced = std::get_if<FencedValue>(&entry.content)) {
    const bool is_highest = tokens_.Raise(fenced->role, fenced->token, MillisecondsOf(entry.version.stamp));
    if (is_highest) store_.EraseFencedBelow(fenced->role, fenced->token);
  }
  if (!std::holds_alternative<KeyAffinity>(entry.content)) unpushed_.insert(KeyOf(entry));
  const UnixMs expires_at = ExpiresAt(options_, entry);
  store_.Put(std::move(entry), expires_at);
}

void SharedState::Write(UnixMs now, Ejection ejection) {
  if (!options_.share_ejections) return;
  Expire(now);
  Store({std::move(ejection), NextVersion(now)});
}

void SharedState::Write(UnixMs now, KeyAffinity affinity) {
  if (options_.affinity_entries == 0) return;
  Expire(now);
  Store({std::move(affinity), NextVersion(now)});
}

bool SharedState::Write(UnixMs now, FencedValue fenced) {
  Expire(now);
  Entry entry{std::move(fenced), NextVersion(now)};
  if (const auto rejection = Validator().ValidateFencedValue(entry)) {
    Reject(SubjectOf(entry), options_.name, *rejection);
    return false;
  }
  Store(std::move(entry));
  return true;
}

void SharedState::Reject(const std::string& subject, const std::string& origin, EntryRejection rejection) {
  ++rejected_[static_cast<std::size_t>(rejection)];
  if (IsFault(rejection)) host_.OnRejected(subject, origin, rejection);
}

void SharedState::Receive(UnixMs now, const json& entries) {
  Expire(now);
  if (!entries.is_array()) return Reject("", "", EntryRejection::kMalformed);
  for (const json& packed : entries) {
    if (const auto entry = Unpack(packed))
      ReceiveEntry(now, *entry);
    else
      Reject("", "", EntryRejection::kMalformed);
  }
}

void SharedState::ReceiveEntry(UnixMs now, const Entry& entry) {
  if (const auto rejection = Validator().ValidateReceived(now, entry)) {
    Reject(SubjectOf(entry), entry.version.origin, *rejection);
    return;
  }
  clock_.Observe(entry.version.stamp);
  Store(entry);
  host_.OnAccepted(entry);
}

json SharedState::PackPiggyback(UnixMs now, std::size_t max_bytes, int max_transmits) {
  Expire(now);
  return PackAndCountPending(&store_, max_bytes, max_transmits);
}

PackedPush SharedState::PackPush(UnixMs now, std::size_t max_bytes) {
  Expire(now);
  std::erase_if(unpushed_, [this](const EntryKey& key) { return !store_.Find(key); });
  return PackKeys(store_, unpushed_, max_bytes);
}

void SharedState::MarkPushed(const std::vector<EntryKey>& keys) {
  for (const EntryKey& key : keys) unpushed_.erase(key);
}

std::vector<json> SharedState::PackAll(UnixMs now, std::size_t max_bytes) {
  return PackMissing(now, json::array(), FullRange(), max_bytes);
}

std::vector<json> SharedState::PackMissing(UnixMs now, const json& peer_entries, const DigestRange& range,
                                           std::size_t max_bytes) {
  Expire(now);
  return fleet::PackMissing(store_, peer_entries, range, max_bytes);
}

std::vector<Chunk<json>> SharedState::PackDiffering(UnixMs now, const BucketDigests& peer_digests,
                                                    std::uint64_t start, std::size_t max_bytes,
                                                    std::size_t max_chunks) {
  Expire(now);
  return fleet::PackDiffering(store_, peer_digests, start, max_bytes, max_chunks);
}

BucketDigests SharedState::ComputeBucketDigests(UnixMs now, std::size_t bucket_count) {
  Expire(now);
  return fleet::ComputeBucketDigests(store_, bucket_count);
}

std::uint64_t SharedState::ComputeDigest(UnixMs now) {
  Expire(now);
  return fleet::ComputeDigest(store_);
}

SharedState::Summary SharedState::Summarize(UnixMs now) {
  Expire(now);
  Summary summary;
  summary.rejected = rejected_;
  for (const auto& [key, stored] : store_.all()) {
    const UnixMs written_at = MillisecondsOf(stored.entry.version.stamp);
    const UnixMs age = now > written_at ? now - written_at : 0;
    if (std::holds_alternative<FencedValue>(stored.entry.content))
      ++summary.fenced_values;
    else if (std::holds_alternative<Ejection>(stored.entry.content))
      AddToSummary(&summary.ejections, age);
    else
      AddToSummary(&summary.affinities, age);
  }
  return summary;
}

std::vector<Entry> SharedState::Ejections(UnixMs now) {
  Expire(now);
  std::vector<Entry> ejections;
  for (const auto& [key, stored] : store_.all())
    if (std::holds_alternative<Ejection>(stored.entry.content)) ejections.push_back(stored.entry);
  return ejections;
}

}  // namespace load_balancer::fleet
