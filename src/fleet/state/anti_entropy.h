// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Compares the entries that two members store and selects the entries to exchange. This is anti-entropy as
/// in Demers et al.: "Epidemic algorithms for replicated database maintenance", 1987. See docs/fleet.md,
/// "Exchange of what differs".
#ifndef LOAD_BALANCER_FLEET_STATE_ANTI_ENTROPY_H_
#define LOAD_BALANCER_FLEET_STATE_ANTI_ENTROPY_H_

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <vector>

#include "fleet/state/entry_store.h"
#include "fleet/sync/chunks.h"

namespace load_balancer::fleet {

/// Size of the MessagePack header of an array of entries, in bytes.
inline constexpr std::size_t kArrayHeaderBytes = 3;

/// Returns the XXH64 hash of all stored versions in the order of their keys. Members that store the same
/// versions get the same digest.
std::uint64_t ComputeDigest(const EntryStore& store);

/// Returns one digest per hash bucket over all stored entries.
BucketDigests ComputeBucketDigests(const EntryStore& store, std::size_t bucket_count);

/// Packs the stored entries in `range` that a peer lacks or has in another version. `peer_entries` is the
/// peer's packed array of all its entries in `range`. Returns arrays of at most `max_bytes` each.
std::vector<nlohmann::json> PackMissing(const EntryStore& store, const nlohmann::json& peer_entries,
                                        const DigestRange& range, std::size_t max_bytes);

/// Packs the stored entries of the buckets whose digests differ from `peer_digests`. Returns at most
/// `max_chunks` chunks of at most `max_bytes` each. The entries are in the order of their hashes: first those
/// from `start` upwards, then those below `start`.
std::vector<Chunk<nlohmann::json>> PackDiffering(const EntryStore& store, const BucketDigests& peer_digests,
                                                 std::uint64_t start, std::size_t max_bytes,
                                                 std::size_t max_chunks);

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_STATE_ANTI_ENTROPY_H_
