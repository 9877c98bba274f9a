// SPDX-License-Identifier: Apache-2.0
#include "snapshot.h"

#include <fcntl.h>
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <system_error>

#include "base/descriptor.h"

namespace load_balancer::state {
namespace {

using nlohmann::json;

constexpr std::array<std::uint8_t, 8> kMagic{'K', 'E', 'S', 'T', 'S', 'N', 'A', 'P'};
constexpr std::size_t kPrefix = kMagic.size() + sizeof(XXH64_canonical_t);
constexpr std::array<std::string_view, 10> kRefusals{
    "absent",    "unreadable", "torn",         "no snapshot",     "checksum",
    "malformed", "version",    "another name", "from the future", "too old"};

[[noreturn]] void Fail(const std::string& what) {
  throw std::system_error(errno, std::generic_category(), what);
}

std::string FolderOf(const std::string& path) {
  const std::string folder = std::filesystem::path(path).parent_path();
  return folder.empty() ? "." : folder;
}

void Sync(int fd, const std::string& path) {
  if (::fsync(fd) != 0) Fail(path);
}

void WriteAll(int fd, std::span<const std::uint8_t> bytes, const std::string& path) {
  while (!bytes.empty()) {
    const ssize_t n = ::write(fd, bytes.data(), bytes.size());
    if (n < 0 && errno == EINTR) continue;
    if (n < 0) Fail(path);
    bytes = bytes.subspan(static_cast<std::size_t>(n));
  }
}

void Rename(const std::string& from, const std::string& to) {
  if (std::rename(from.c_str(), to.c_str()) != 0) Fail(to);
}

}  // namespace

std::string_view Name(Refusal refusal) { return kRefusals.at(static_cast<std::size_t>(refusal)); }

std::string PreviousOf(const std::string& path) { return path + ".previous"; }

std::variant<Snapshot, Refusal> ReadFile(const std::string& path, const Expected& expected) {
  std::error_code failed;
  const auto size = std::filesystem::file_size(path, failed);
  if (failed) return failed == std::errc::no_such_file_or_directory ? Refusal::kAbsent : Refusal::kUnreadable;
  if (size > kMostFile) return Refusal::kNoSnapshot;
  std::ifstream in(path, std::ios::binary);
  std::vector<std::uint8_t> bytes(size);
  in.read(reinterpret_cast<char*>(bytes.data()), static_cast<std::streamsize>(size));
  if (!in) return Refusal::kUnreadable;
  return Decode(bytes, expected);
}

std::vector<std::uint8_t> Encode(const Snapshot& snapshot) {
  const auto rest = json::to_cbor(
      json::array({kFormatVersion, snapshot.name, snapshot.sequence, snapshot.wall, snapshot.body}));
  XXH64_canonical_t checksum;
  XXH64_canonicalFromHash(&checksum, XXH64(rest.data(), rest.size(), kFormatVersion));
  std::vector<std::uint8_t> file(kPrefix + rest.size());
  auto end = std::copy(kMagic.begin(), kMagic.end(), file.begin());
  end = std::copy(std::begin(checksum.digest), std::end(checksum.digest), end);
  std::copy(rest.begin(), rest.end(), end);
  return file;
}

std::variant<Snapshot, Refusal> Decode(std::span<const std::uint8_t> file, const Expected& expected) {
  if (file.size() <= kPrefix) return Refusal::kTorn;
  if (!std::equal(kMagic.begin(), kMagic.end(), file.begin())) return Refusal::kNoSnapshot;
  XXH64_canonical_t checksum;
  std::memcpy(checksum.digest, file.data() + kMagic.size(), sizeof checksum.digest);
  const auto rest = file.subspan(kPrefix);
  if (XXH64(rest.data(), rest.size(), kFormatVersion) != XXH64_hashFromCanonical(&checksum))
    return Refusal::kChecksum;
  try {
    json root = json::from_cbor(rest.begin(), rest.end());
    if (root.at(0).get<std::uint64_t>() != kFormatVersion) return Refusal::kVersion;
    Snapshot snapshot{root.at(1).get<std::string>(), root.at(2).get<std::uint64_t>(),
                      root.at(3).get<UnixMs>(), std::move(root.at(4))};
    if (!snapshot.body.is_object()) return Refusal::kMalformed;
    if (snapshot.name != expected.name) return Refusal::kName;
    if (snapshot.wall > expected.now + expected.most_skew) return Refusal::kFuture;
    if (snapshot.wall + expected.most_age < expected.now) return Refusal::kOld;
    return snapshot;
  } catch (const json::exception&) {
    return Refusal::kMalformed;
  }
}

void WriteWhole(const std::string& path, const std::string& previous, std::span<const std::uint8_t> bytes,
                const std::function<void(Step)>& at) {
  const auto reached = [&at](Step step) {
    if (at) at(step);
  };
  // Two processes of one proxy may write at a time.
  const std::string fresh = path + ".new." + std::to_string(::getpid());
  const Descriptor file(::open(fresh.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
  if (!file) Fail(fresh);
  reached(Step::kBegun);
  WriteAll(file.get(), bytes, fresh);
  reached(Step::kWritten);
  Sync(file.get(), fresh);
  reached(Step::kSynced);
  std::error_code ignored;
  if (!previous.empty() && std::filesystem::exists(path, ignored)) Rename(path, previous);
  reached(Step::kSetAside);
  Rename(fresh, path);
  reached(Step::kRenamed);
  const Descriptor folder(::open(FolderOf(path).c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (!folder) Fail(FolderOf(path));
  Sync(folder.get(), FolderOf(path));
  reached(Step::kDone);
}

std::variant<Snapshot, Refusal> Recover(const std::string& path, const Expected& expected,
                                        const std::function<void(const std::string&, Refusal)>& refused) {
  std::variant<Snapshot, Refusal> best = Refusal::kAbsent;
  for (const std::string& each : {path, PreviousOf(path)}) {
    auto read = ReadFile(each, expected);
    if (const Refusal* why = std::get_if<Refusal>(&read)) {
      if (*why != Refusal::kAbsent) refused(each, *why);
      if (!std::holds_alternative<Snapshot>(best) && *why != Refusal::kAbsent) best = *why;
      continue;
    }
    const auto* held = std::get_if<Snapshot>(&best);
    if (!held || std::get<Snapshot>(read).sequence > held->sequence) best = std::move(read);
  }
  return best;
}

}  // namespace load_balancer::state
