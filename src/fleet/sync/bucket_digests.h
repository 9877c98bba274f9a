// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Digests of a set of entries by hash bucket, by which two members find what differs between their sets
/// (docs/fleet.md, "Exchange of what differs").
#ifndef LOAD_BALANCER_FLEET_SYNC_BUCKET_DIGESTS_H_
#define LOAD_BALANCER_FLEET_SYNC_BUCKET_DIGESTS_H_

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace load_balancer::fleet {

inline constexpr std::size_t kMinBuckets = 8;
inline constexpr std::size_t kMaxBuckets = 128;

/// Whether the hash space may be divided into so many buckets: a power of two within the limits.
bool IsValidBucketCount(std::size_t count);

/// The bucket of a hash where the space is divided into `count` equal buckets.
std::size_t BucketOf(std::uint64_t hash, std::size_t count);

/// Some of the `count` buckets that the hash space is divided into.
struct BucketSet {
  std::size_t count = kMinBuckets;
  std::bitset<kMaxBuckets> indices;

  bool IsEmpty() const { return indices.none(); }
  bool Contains(std::uint64_t hash) const { return indices.test(BucketOf(hash, count)); }
};

class BucketDigests {
 public:
  explicit BucketDigests(std::size_t count) : digests_(count) {}
  /// A valid count that leaves about four of `entries` in each bucket.
  static std::size_t CountFor(std::size_t entries);
  /// Reads what Pack returned; nothing if the size is invalid.
  static std::optional<BucketDigests> Unpack(std::span<const std::uint8_t> packed);

  /// Adds an entry. `hash` is its position in the hash space, `content` the hash of all that is compared.
  void Add(std::uint64_t hash, std::uint64_t content);
  std::size_t count() const { return digests_.size(); }
  /// Four bytes a bucket, little-endian.
  std::vector<std::uint8_t> Pack() const;
  /// The buckets whose digests differ from those of `other`, which has as many.
  BucketSet DifferingFrom(const BucketDigests& other) const;

 private:
  std::vector<std::uint32_t> digests_;
};

/// The part of the hash space for which a message lists every entry that its sender has: the hashes in
/// `buckets` from `first` to `last`, both included, wrapping around the end of the space.
struct DigestRange {
  BucketSet buckets;
  std::uint64_t first = 0;
  std::uint64_t last = 0;
  bool is_truncated = false;  ///< differing entries beyond `last` were not sent

  bool Contains(std::uint64_t hash) const { return hash - first <= last - first && buckets.Contains(hash); }
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_SYNC_BUCKET_DIGESTS_H_
