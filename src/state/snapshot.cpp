// SPDX-License-Identifier: Apache-2.0
#include "state/snapshot.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <optional>
#include <utility>

namespace load_balancer::state {
namespace {

using nlohmann::json;

constexpr std::array<std::uint8_t, 8> kMagic{'K', 'E', 'S', 'T', 'S', 'N', 'A', 'P'};
constexpr std::size_t kHeaderBytes = kMagic.size() + sizeof(XXH64_canonical_t);
constexpr std::array<std::string_view, 10> kRejectionNames{
    "absent",    "unreadable", "torn",         "no snapshot",     "checksum",
    "malformed", "version",    "another name", "from the future", "too old"};

// Uses the format version as the seed of the hash, so that a file of another format fails the check.
std::uint64_t ChecksumOf(std::span<const std::uint8_t> content) {
  return XXH64(content.data(), content.size(), kFormatVersion);
}

std::optional<SnapshotRejection> Check(const Snapshot& snapshot, const AcceptanceCriteria& criteria) {
  if (!snapshot.body.is_object()) return SnapshotRejection::kMalformed;
  if (snapshot.name != criteria.name) return SnapshotRejection::kOtherName;
  if (snapshot.written_at > criteria.now + criteria.max_clock_skew) return SnapshotRejection::kFromFuture;
  if (snapshot.written_at + criteria.max_age < criteria.now) return SnapshotRejection::kTooOld;
  return std::nullopt;
}

// Decodes the content after the checksum. Throws json::exception if it is malformed.
std::variant<Snapshot, SnapshotRejection> DecodeContent(std::span<const std::uint8_t> content,
                                                        const AcceptanceCriteria& criteria) {
  json root = json::from_cbor(content.begin(), content.end());
  if (root.at(0).get<std::uint64_t>() != kFormatVersion) return SnapshotRejection::kOtherVersion;
  Snapshot snapshot{root.at(1).get<std::string>(), root.at(2).get<std::uint64_t>(), root.at(3).get<UnixMs>(),
                    std::move(root.at(4))};
  if (const auto rejection = Check(snapshot, criteria)) return *rejection;
  return snapshot;
}

}  // namespace

std::string_view Name(SnapshotRejection rejection) {
  return kRejectionNames.at(static_cast<std::size_t>(rejection));
}

std::vector<std::uint8_t> Encode(const Snapshot& snapshot) {
  const auto content = json::to_cbor(
      json::array({kFormatVersion, snapshot.name, snapshot.sequence, snapshot.written_at, snapshot.body}));
  XXH64_canonical_t checksum;
  XXH64_canonicalFromHash(&checksum, ChecksumOf(content));
  std::vector<std::uint8_t> file(kHeaderBytes + content.size());
  auto end = std::copy(kMagic.begin(), kMagic.end(), file.begin());
  end = std::copy(std::begin(checksum.digest), std::end(checksum.digest), end);
  std::copy(content.begin(), content.end(), end);
  return file;
}

std::variant<Snapshot, SnapshotRejection> Decode(std::span<const std::uint8_t> file,
                                                 const AcceptanceCriteria& criteria) {
  if (file.size() <= kHeaderBytes) return SnapshotRejection::kTruncated;
  if (!std::equal(kMagic.begin(), kMagic.end(), file.begin())) return SnapshotRejection::kNotASnapshot;
  XXH64_canonical_t checksum;
  std::memcpy(checksum.digest, file.data() + kMagic.size(), sizeof checksum.digest);
  const auto content = file.subspan(kHeaderBytes);
  if (ChecksumOf(content) != XXH64_hashFromCanonical(&checksum)) return SnapshotRejection::kChecksum;
  try {
    return DecodeContent(content, criteria);
  } catch (const json::exception&) {
    return SnapshotRejection::kMalformed;
  }
}

}  // namespace load_balancer::state
