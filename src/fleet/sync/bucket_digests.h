// SPDX-License-Identifier: Apache-2.0
//
// What of two sets of entries differs, by digests of equal parts of the space of their keys' hashes
// (docs/fleet.md, "Exchange of what differs").
#ifndef LOAD_BALANCER_FLEET_SYNC_BUCKET_DIGESTS_H_
#define LOAD_BALANCER_FLEET_SYNC_BUCKET_DIGESTS_H_

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace load_balancer::fleet {

inline constexpr std::size_t kFewestBuckets = 8, kMostBuckets = 128;

// Whether a set may be cut into so many: a power of two within the limits.
bool IsCount(std::size_t buckets);
// Of `count` buckets, the one of a place in the space of hashes.
std::size_t BucketAt(std::uint64_t place, std::size_t count);

// A set's digests.
class Buckets {
 public:
  explicit Buckets(std::size_t count) : digests_(count) {}
  // So many that there are about four entries in each.
  static std::size_t CountFor(std::size_t entries);
  // As Pack made them; nothing of any other size.
  static std::optional<Buckets> Unpack(std::span<const std::uint8_t> packed);

  // An entry at the place, with the hash of all that is compared of it.
  void Add(std::uint64_t place, std::uint64_t hash);
  std::size_t count() const { return digests_.size(); }
  // Four bytes a bucket.
  std::vector<std::uint8_t> Pack() const;
  // Which are unlike those of `other`, which has as many.
  std::bitset<kMostBuckets> Unlike(const Buckets& other) const;

 private:
  std::vector<std::uint32_t> digests_;
};

// A part of the space of which a message lists every entry that its sender has: of some buckets of `count`
// the places from `from` to `to`, both included, round the end of the space if `to` is before `from`.
struct Slice {
  std::size_t count = kFewestBuckets;
  std::bitset<kMostBuckets> buckets;
  std::uint64_t from = 0, to = 0;
  bool more = false;  // what follows was not sent

  bool Holds(std::uint64_t place) const {
    return place - from <= to - from && buckets.test(BucketAt(place, count));
  }
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_SYNC_BUCKET_DIGESTS_H_
