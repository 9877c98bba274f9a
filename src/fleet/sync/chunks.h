// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Splits the entries of hash buckets into chunks that each fit a datagram.
#ifndef LOAD_BALANCER_FLEET_SYNC_CHUNKS_H_
#define LOAD_BALANCER_FLEET_SYNC_CHUNKS_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "fleet/sync/bucket_digests.h"

namespace load_balancer::fleet {

/// HashedEntry is an entry with its hash and its size in a message, in bytes.
template <typename Entry>
struct HashedEntry {
  std::uint64_t hash = 0;
  std::size_t size = 0;
  Entry entry;
};

/// Chunk contains all of the sender's entries in a range. A chunk without entries means that the sender has
/// no entries in the range.
template <typename Entry>
struct Chunk {
  DigestRange range;
  std::vector<Entry> entries;
};

/// Splits the entries that are in `buckets` into chunks of at most `max_bytes` each. The entries are in the
/// order of their hashes: first those from `start` upwards, then those below `start`. Returns at least one
/// and at most `max_chunks` chunks. Their ranges together cover the whole hash space, unless the last one is
/// marked as truncated.
template <typename Entry>
std::vector<Chunk<Entry>> SplitIntoChunks(std::vector<HashedEntry<Entry>> entries, const BucketSet& buckets,
                                          std::uint64_t start, std::size_t max_bytes,
                                          std::size_t max_chunks) {
  std::erase_if(entries, [&](const auto& entry) { return !buckets.Contains(entry.hash); });
  std::sort(entries.begin(), entries.end(),
            [start](const auto& left, const auto& right) { return left.hash - start < right.hash - start; });
  const std::uint64_t end = start - 1;
  std::vector<Chunk<Entry>> chunks(1, {{buckets, start, end, false}, {}});
  std::size_t bytes_left = max_bytes;
  for (HashedEntry<Entry>& entry : entries) {
    if (entry.size > bytes_left && !chunks.back().entries.empty()) {
      DigestRange& full = chunks.back().range;
      full.last = entry.hash - 1;
      full.is_truncated = chunks.size() == max_chunks;
      if (full.is_truncated) break;
      chunks.push_back({{buckets, entry.hash, end, false}, {}});
      bytes_left = max_bytes;
    }
    bytes_left -= std::min(bytes_left, entry.size);
    chunks.back().entries.push_back(std::move(entry.entry));
  }
  return chunks;
}

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_SYNC_CHUNKS_H_
