// SPDX-License-Identifier: Apache-2.0
#include "config/file.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

#include "config.h"

namespace load_balancer::proxy {
namespace {

constexpr std::size_t kMostBytes = 1024 * 1024;  // some thousand servers; more would not fit into the memory
constexpr std::size_t kPiece = 64 * 1024;
constexpr int kMostReadings = 5;  // of a file that changes

bool SameTime(const timespec& one, const timespec& other) {
  return one.tv_sec == other.tv_sec && one.tv_nsec == other.tv_nsec;
}

}  // namespace

ConfigFile::ConfigFile(const std::string& path)
    : path_(path), descriptor_(::open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK)) {
  if (!descriptor_) Refuse(std::strerror(errno));
  opened_ = Status();
  if (!S_ISREG(opened_.st_mode)) Refuse("no regular file");
}

std::string ConfigFile::ReadAll() const {
  std::string text;
  for (;;) {
    const std::size_t before = text.size();
    text.resize(before + kPiece);
    const ssize_t got = ::pread(descriptor_.get(), text.data() + before, kPiece, static_cast<off_t>(before));
    text.resize(before + static_cast<std::size_t>(got > 0 ? got : 0));
    if (got == 0) return text;
    if (got < 0 && errno != EINTR) Refuse(std::strerror(errno));
    if (text.size() > kMostBytes) Refuse("over " + std::to_string(kMostBytes) + " bytes");
  }
}

bool ConfigFile::Unchanged() const {
  const struct stat now = Status();
  return now.st_size == opened_.st_size && SameTime(now.st_mtim, opened_.st_mtim) &&
         SameTime(now.st_ctim, opened_.st_ctim);
}

struct stat ConfigFile::Status() const {
  struct stat status {};
  if (::fstat(descriptor_.get(), &status) != 0) Refuse(std::strerror(errno));
  return status;
}

void ConfigFile::Refuse(const std::string& why) const {
  throw BadConfig("cannot read ROUTER_CONFIG: " + path_ + ": " + why);
}

std::string ReadConfigFile(const std::string& path) {
  for (int reading = 0; reading < kMostReadings; ++reading) {
    const ConfigFile file(path);
    std::string text = file.ReadAll();
    if (file.Unchanged()) return text;
  }
  throw BadConfig("cannot read ROUTER_CONFIG: " + path + ": it changes while it is read");
}

}  // namespace load_balancer::proxy
