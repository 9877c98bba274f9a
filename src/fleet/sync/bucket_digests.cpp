// SPDX-License-Identifier: Apache-2.0
#include "fleet/sync/bucket_digests.h"

#include <algorithm>
#include <bit>

namespace load_balancer::fleet {
namespace {

constexpr std::size_t kDigestBytes = 4;
constexpr std::size_t kEntriesPerBucket = 4;  // upper end of the average that CountFor aims for
constexpr int kBitsPerByte = 8;
constexpr int kHashBits = 64;

}  // namespace

bool IsValidBucketCount(std::size_t count) {
  return count >= kMinBuckets && count <= kMaxBuckets && std::has_single_bit(count);
}

std::size_t BucketOf(std::uint64_t hash, std::size_t count) {
  return static_cast<std::size_t>(hash >> (kHashBits - std::countr_zero(count)));
}

std::size_t BucketDigests::CountFor(std::size_t entries) {
  return std::clamp(std::bit_ceil(entries / kEntriesPerBucket), kMinBuckets, kMaxBuckets);
}

std::optional<BucketDigests> BucketDigests::Unpack(std::span<const std::uint8_t> packed) {
  const std::size_t count = packed.size() / kDigestBytes;
  if (packed.size() % kDigestBytes != 0 || !IsValidBucketCount(count)) return std::nullopt;
  BucketDigests unpacked(count);
  for (std::size_t i = 0; i < packed.size(); ++i) {
    const std::size_t shift = kBitsPerByte * (i % kDigestBytes);
    unpacked.digests_[i / kDigestBytes] |= std::uint32_t{packed[i]} << shift;
  }
  return unpacked;
}

void BucketDigests::Add(std::uint64_t hash, std::uint64_t content) {
  // The sum does not depend on the order in which entries are added.
  digests_[BucketOf(hash, count())] += static_cast<std::uint32_t>(content);
}

std::vector<std::uint8_t> BucketDigests::Pack() const {
  std::vector<std::uint8_t> packed;
  packed.reserve(digests_.size() * kDigestBytes);
  for (const std::uint32_t digest : digests_)
    for (std::size_t i = 0; i < kDigestBytes; ++i)
      packed.push_back(static_cast<std::uint8_t>(digest >> (kBitsPerByte * i)));
  return packed;
}

BucketSet BucketDigests::DifferingFrom(const BucketDigests& other) const {
  BucketSet differing{count(), {}};
  for (std::size_t i = 0; i < count(); ++i) differing.indices.set(i, digests_[i] != other.digests_[i]);
  return differing;
}

}  // namespace load_balancer::fleet
