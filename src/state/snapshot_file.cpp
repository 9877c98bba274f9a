// SPDX-License-Identifier: Apache-2.0
#include "state/snapshot_file.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <system_error>
#include <utility>
#include <vector>

#include "base/descriptor.h"

namespace load_balancer::state {
namespace {

constexpr mode_t kOwnerOnly = 0600;

[[noreturn]] void ThrowErrno(const std::string& path) {
  throw std::system_error(errno, std::generic_category(), path);
}

// Returns the folder that contains `path`.
std::string FolderOf(const std::string& path) {
  const std::string folder = std::filesystem::path(path).parent_path();
  return folder.empty() ? "." : folder;
}

Descriptor Open(const std::string& path, int flags) {
  Descriptor file(::open(path.c_str(), flags | O_CLOEXEC, kOwnerOnly));
  if (!file) ThrowErrno(path);
  return file;
}

void WriteAll(int fd, std::span<const std::uint8_t> bytes, const std::string& path) {
  while (!bytes.empty()) {
    const ssize_t written = ::write(fd, bytes.data(), bytes.size());
    if (written < 0 && errno == EINTR) continue;
    if (written < 0) ThrowErrno(path);
    bytes = bytes.subspan(static_cast<std::size_t>(written));
  }
}

void Sync(int fd, const std::string& path) {
  if (::fsync(fd) != 0) ThrowErrno(path);
}

void Rename(const std::string& from, const std::string& to) {
  if (std::rename(from.c_str(), to.c_str()) != 0) ThrowErrno(to);
}

bool Exists(const std::string& path) {
  std::error_code ignored;
  return std::filesystem::exists(path, ignored);
}

}  // namespace

std::string PreviousPath(const std::string& path) { return path + ".previous"; }

std::variant<Snapshot, SnapshotRejection> ReadFile(const std::string& path,
                                                   const AcceptanceCriteria& criteria) {
  std::error_code failed;
  const auto size = std::filesystem::file_size(path, failed);
  if (failed == std::errc::no_such_file_or_directory) return SnapshotRejection::kAbsent;
  if (failed) return SnapshotRejection::kUnreadable;
  if (size > kMaxFileBytes) return SnapshotRejection::kNotASnapshot;
  std::ifstream in(path, std::ios::binary);
  std::vector<std::uint8_t> bytes(size);
  in.read(reinterpret_cast<char*>(bytes.data()), static_cast<std::streamsize>(size));
  if (!in) return SnapshotRejection::kUnreadable;
  return Decode(bytes, criteria);
}

std::variant<Snapshot, SnapshotRejection> Recover(const std::string& path, const AcceptanceCriteria& criteria,
                                                  const OnFileRejected& on_rejected) {
  std::variant<Snapshot, SnapshotRejection> best = SnapshotRejection::kAbsent;
  for (const std::string& candidate : {path, PreviousPath(path)}) {
    auto read = ReadFile(candidate, criteria);
    const auto* newest = std::get_if<Snapshot>(&best);
    if (const auto* rejection = std::get_if<SnapshotRejection>(&read)) {
      if (*rejection == SnapshotRejection::kAbsent) continue;
      on_rejected(candidate, *rejection);
      if (!newest) best = *rejection;
      continue;
    }
    if (!newest || std::get<Snapshot>(read).sequence > newest->sequence) best = std::move(read);
  }
  return best;
}

void WriteAtomically(const std::string& path, const std::string& previous,
                     std::span<const std::uint8_t> bytes, const std::function<void(WriteStep)>& on_step) {
  const auto completed = [&on_step](WriteStep step) {
    if (on_step) on_step(step);
  };
  // Two processes of one proxy may write at the same time, so the name includes the process id.
  const std::string temporary = path + ".new." + std::to_string(::getpid());
  const Descriptor file = Open(temporary, O_WRONLY | O_CREAT | O_TRUNC);
  completed(WriteStep::kOpened);
  WriteAll(file.get(), bytes, temporary);
  completed(WriteStep::kWritten);
  Sync(file.get(), temporary);
  completed(WriteStep::kSynced);
  if (!previous.empty() && Exists(path)) Rename(path, previous);
  completed(WriteStep::kPreviousSaved);
  Rename(temporary, path);
  completed(WriteStep::kRenamed);
  // Syncs the folder. Otherwise the renames might be lost in a power failure.
  const Descriptor folder = Open(FolderOf(path), O_RDONLY | O_DIRECTORY);
  Sync(folder.get(), FolderOf(path));
  completed(WriteStep::kDone);
}

}  // namespace load_balancer::state
