// SPDX-License-Identifier: Apache-2.0
#include "fleet/state/anti_entropy.h"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <utility>

#include "fleet/state/entry_codec.h"

namespace load_balancer::fleet {
namespace {

using nlohmann::json;

// Returns the versions of the well-formed entries in a packed array.
std::map<EntryKey, Version> VersionsOf(const json& packed_entries) {
  std::map<EntryKey, Version> versions;
  for (const json& packed : packed_entries)
    if (const auto entry = Unpack(packed)) versions[KeyOf(*entry)] = entry->version;
  return versions;
}

// Returns the number of bytes that are available for the elements of a packed array of `max_bytes`.
std::size_t MaxElementBytes(std::size_t max_bytes) {
  return max_bytes - std::min(max_bytes, kArrayHeaderBytes);
}

}  // namespace

std::uint64_t ComputeDigest(const EntryStore& store) {
  std::uint64_t digest = 0;
  for (const auto& [key, stored] : store.all()) {
    const Version& version = stored.entry.version;
    digest = XXH64(version.origin.data(), version.origin.size(), digest);
    digest = XXH64(&version.stamp, sizeof version.stamp, digest);
  }
  return digest;
}

BucketDigests ComputeBucketDigests(const EntryStore& store, std::size_t bucket_count) {
  BucketDigests digests(bucket_count);
  for (const auto& [key, stored] : store.all()) {
    const Version& version = stored.entry.version;
    const std::uint64_t hash = HashOf(key);
    digests.Add(hash, XXH64(version.origin.data(), version.origin.size(), hash ^ version.stamp));
  }
  return digests;
}

std::vector<json> PackMissing(const EntryStore& store, const json& peer_entries, const DigestRange& range,
                              std::size_t max_bytes) {
  const std::map<EntryKey, Version> peer_versions = VersionsOf(peer_entries);
  std::vector<json> arrays;
  std::size_t bytes_left = 0;
  for (const auto& [key, stored] : store.all()) {
    if (!range.Contains(HashOf(key))) continue;
    const auto peer_version = peer_versions.find(key);
    if (peer_version != peer_versions.end() && peer_version->second == stored.entry.version) continue;
    if (stored.packed_bytes > bytes_left) {
      arrays.push_back(json::array());
      bytes_left = MaxElementBytes(max_bytes);
    }
    bytes_left -= std::min(bytes_left, stored.packed_bytes);
    arrays.back().push_back(Pack(stored.entry));
  }
  return arrays;
}

std::vector<Chunk<json>> PackDiffering(const EntryStore& store, const BucketDigests& peer_digests,
                                       std::uint64_t start, std::size_t max_bytes, std::size_t max_chunks) {
  const BucketSet differing = ComputeBucketDigests(store, peer_digests.count()).DifferingFrom(peer_digests);
  if (differing.IsEmpty()) return {};
  std::vector<HashedEntry<json>> entries;
  for (const auto& [key, stored] : store.all()) {
    const std::uint64_t hash = HashOf(key);
    if (differing.Contains(hash)) entries.push_back({hash, stored.packed_bytes, Pack(stored.entry)});
  }
  return SplitIntoChunks(std::move(entries), differing, start, MaxElementBytes(max_bytes), max_chunks);
}

}  // namespace load_balancer::fleet
