// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Comparison and exchange of two members' stored entries (anti-entropy, as in Demers et al.: "Epidemic
/// algorithms for replicated database maintenance", 1987; docs/fleet.md, "Exchange of what differs").
#ifndef LOAD_BALANCER_FLEET_STATE_ANTI_ENTROPY_H_
#define LOAD_BALANCER_FLEET_STATE_ANTI_ENTROPY_H_

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <vector>

#include "fleet/state/entry_store.h"
#include "fleet/sync/chunks.h"

namespace load_balancer::fleet {

/// Bytes of a packed array besides its elements, in any message of the state.
inline constexpr std::size_t kArrayBytes = 3;

/// Equal at members that store the same versions (XXH64 over all versions in the order of their keys).
std::uint64_t ComputeDigest(const EntryStore& store);

/// Digests of all entries by bucket.
BucketDigests ComputeBucketDigests(const EntryStore& store, std::size_t bucket_count);

/// The packed entries in `range` that `listed`, which is another member's packed array, does not have at the
/// same version: arrays of at most `max_bytes` each.
std::vector<nlohmann::json> PackMissing(const EntryStore& store, const nlohmann::json& listed,
                                        const DigestRange& range, std::size_t max_bytes);

/// The packed entries of the buckets whose digests differ from `theirs`, beginning at the hash `start`, in at
/// most `max_chunks` chunks of at most `max_bytes` each.
std::vector<Chunk<nlohmann::json>> PackDiffering(const EntryStore& store, const BucketDigests& theirs,
                                                 std::uint64_t start, std::size_t max_bytes,
                                                 std::size_t max_chunks);

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_STATE_ANTI_ENTROPY_H_
