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

std::map<EntryKey, Version> VersionsOf(const json& listed) {
  std::map<EntryKey, Version> versions;
  for (const json& packed : listed)
    if (const auto entry = Unpack(packed)) versions[KeyOf(*entry)] = entry->version;
  return versions;
}

std::size_t WithoutArray(std::size_t max_bytes) { return max_bytes - std::min(max_bytes, kArrayBytes); }

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

std::vector<json> PackMissing(const EntryStore& store, const json& listed, const DigestRange& range,
                              std::size_t max_bytes) {
  const std::map<EntryKey, Version> theirs = VersionsOf(listed);
  std::vector<json> arrays;
  std::size_t left = 0;
  for (const auto& [key, stored] : store.all()) {
    if (!range.Contains(HashOf(key))) continue;
    const auto other = theirs.find(key);
    if (other != theirs.end() && other->second == stored.entry.version) continue;
    if (stored.packed_bytes > left) {
      arrays.push_back(json::array());
      left = WithoutArray(max_bytes);
    }
    left -= std::min(left, stored.packed_bytes);
    arrays.back().push_back(Pack(stored.entry));
  }
  return arrays;
}

std::vector<Chunk<json>> PackDiffering(const EntryStore& store, const BucketDigests& theirs,
                                       std::uint64_t start, std::size_t max_bytes, std::size_t max_chunks) {
  const BucketSet differing = ComputeBucketDigests(store, theirs.count()).DifferingFrom(theirs);
  if (differing.IsEmpty()) return {};
  std::vector<HashedEntry<json>> entries;
  for (const auto& [key, stored] : store.all()) {
    const std::uint64_t hash = HashOf(key);
    if (differing.Contains(hash)) entries.push_back({hash, stored.packed_bytes, Pack(stored.entry)});
  }
  return SplitIntoChunks(std::move(entries), differing, start, WithoutArray(max_bytes), max_chunks);
}

}  // namespace load_balancer::fleet
