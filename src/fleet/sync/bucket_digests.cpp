// SPDX-License-Identifier: Apache-2.0
#include "fleet/sync/bucket_digests.h"

#include <algorithm>
#include <bit>

namespace load_balancer::fleet {
namespace {

constexpr std::size_t kDigestBytes = 4, kEntriesOfABucket = 4;
constexpr int kPlaceBits = 64;

}  // namespace

bool IsCount(std::size_t buckets) {
  return buckets >= kFewestBuckets && buckets <= kMostBuckets && std::has_single_bit(buckets);
}

std::size_t BucketAt(std::uint64_t place, std::size_t count) {
  return static_cast<std::size_t>(place >> (kPlaceBits - std::countr_zero(count)));
}

std::size_t Buckets::CountFor(std::size_t entries) {
  return std::clamp(std::bit_ceil(entries / kEntriesOfABucket), kFewestBuckets, kMostBuckets);
}

std::optional<Buckets> Buckets::Unpack(std::span<const std::uint8_t> packed) {
  const std::size_t count = packed.size() / kDigestBytes;
  if (packed.size() % kDigestBytes != 0 || !IsCount(count)) return std::nullopt;
  Buckets buckets(count);
  for (std::size_t i = 0; i < packed.size(); ++i)
    buckets.digests_[i / kDigestBytes] |= std::uint32_t{packed[i]} << (8 * (i % kDigestBytes));
  return buckets;
}

void Buckets::Add(std::uint64_t place, std::uint64_t hash) {
  // A sum: the same in whatever order.
  digests_[BucketAt(place, count())] += static_cast<std::uint32_t>(hash);
}

std::vector<std::uint8_t> Buckets::Pack() const {
  std::vector<std::uint8_t> packed;
  packed.reserve(digests_.size() * kDigestBytes);
  for (const std::uint32_t digest : digests_)
    for (std::size_t i = 0; i < kDigestBytes; ++i)
      packed.push_back(static_cast<std::uint8_t>(digest >> (8 * i)));
  return packed;
}

std::bitset<kMostBuckets> Buckets::Unlike(const Buckets& other) const {
  std::bitset<kMostBuckets> unlike;
  for (std::size_t i = 0; i < count(); ++i) unlike.set(i, digests_[i] != other.digests_[i]);
  return unlike;
}

}  // namespace load_balancer::fleet
