// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Computes one digest per hash bucket of a set of entries. Two members compare these digests to find the
/// buckets in which their sets differ (docs/fleet.md, "Exchange of what differs").
#ifndef LOAD_BALANCER_FLEET_SYNC_BUCKET_DIGESTS_H_
#define LOAD_BALANCER_FLEET_SYNC_BUCKET_DIGESTS_H_

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace load_balancer::fleet {

/// Minimum and maximum number of buckets.
inline constexpr std::size_t kMinBuckets = 8;
inline constexpr std::size_t kMaxBuckets = 128;

/// Returns whether `count` is a valid number of buckets, which is a power of two within the limits.
bool IsValidBucketCount(std::size_t count);

/// Returns the index of the bucket that contains a hash. The hash space is divided into `count` equal
/// buckets.
std::size_t BucketOf(std::uint64_t hash, std::size_t count);

/// BucketSet is a subset of the `count` buckets into which the hash space is divided.
struct BucketSet {
  std::size_t count = kMinBuckets;
  std::bitset<kMaxBuckets> indices;  ///< bit i is set if bucket i is in the subset

  bool IsEmpty() const { return indices.none(); }
  bool Contains(std::uint64_t hash) const { return indices.test(BucketOf(hash, count)); }
};

/// BucketDigests holds one digest for each bucket.
class BucketDigests {
 public:
  explicit BucketDigests(std::size_t count) : digests_(count) {}
  /// Returns a valid number of buckets for a set of `entries` entries. Unless the number is limited by
  /// kMinBuckets or kMaxBuckets, a bucket contains about two to four entries on average.
  static std::size_t CountFor(std::size_t entries);
  /// Decodes the result of Pack. Returns nullopt if the size is invalid.
  static std::optional<BucketDigests> Unpack(std::span<const std::uint8_t> packed);

  /// Adds an entry to the digest of its bucket. `hash` selects the bucket. `content` is the hash of the
  /// fields that members compare.
  void Add(std::uint64_t hash, std::uint64_t content);
  std::size_t count() const { return digests_.size(); }
  /// Encodes the digests with four bytes per bucket, little-endian.
  std::vector<std::uint8_t> Pack() const;
  /// Returns the buckets whose digests differ from those of `other`, which must have the same number of
  /// buckets.
  BucketSet DifferingFrom(const BucketDigests& other) const;

 private:
  std::vector<std::uint32_t> digests_;
};

/// DigestRange is the part of the hash space for which a message lists every entry that its sender stores. It
/// contains the hashes in `buckets` from `first` to `last`, both inclusive. If `last` is smaller than
/// `first`, the range continues at zero after the largest hash.
struct DigestRange {
  BucketSet buckets;
  std::uint64_t first = 0;
  std::uint64_t last = 0;
  bool is_truncated = false;  ///< whether the sender left out differing entries beyond `last`

  bool Contains(std::uint64_t hash) const { return hash - first <= last - first && buckets.Contains(hash); }
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_SYNC_BUCKET_DIGESTS_H_
