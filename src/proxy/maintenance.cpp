// SPDX-License-Identifier: Apache-2.0
#include "maintenance.h"

#include <cerrno>
#include <filesystem>
#include <fstream>
#include <system_error>
#include <utility>

#include "log.h"

namespace brackenspoke::proxy {

Maintenance::Maintenance(std::string path, Overlap& overlap)
    : path_(std::move(path)), overlap_(overlap), version_(overlap.version()) {
  if (!path_.empty()) out_ = Read();
}

// One id to a line.
std::set<std::string> Maintenance::Read() const {
  std::set<std::string> out;
  std::error_code failed;
  if (!std::filesystem::exists(path_, failed) && !failed) return out;
  std::ifstream file(path_);
  for (std::string line; std::getline(file, line);) {
    if (!line.empty()) out.insert(std::move(line));
  }
  if (!file.eof()) throw std::system_error(EIO, std::generic_category(), path_);
  return out;
}

bool Maintenance::Write(const std::set<std::string>& out) const {
  const std::string fresh = path_ + ".new";
  std::ofstream file(fresh, std::ios::trunc);
  for (const std::string& id : out) file << id << '\n';
  file.close();
  return file.good() && std::rename(fresh.c_str(), path_.c_str()) == 0;
}

bool Maintenance::Change(const std::string& id, bool out) {
  return Keep([&](std::set<std::string>& all) { out ? (void)all.insert(id) : (void)all.erase(id); });
}

bool Maintenance::Replace(std::set<std::string> out) {
  return Keep([&](std::set<std::string>& all) { all = std::move(out); });
}

// What `edit` makes of all that are out, kept in the file before it holds.
template <typename Edit>
bool Maintenance::Keep(Edit edit) {
  if (path_.empty()) {
    edit(out_);
    return true;
  }
  try {
    const Overlap::Lock lock = overlap_.LockChanges();
    const std::set<std::string> before = Read();  // another process may have changed it since
    std::set<std::string> changed = before;
    edit(changed);
    if (changed != before) {
      if (!Write(changed)) return false;
      version_ = overlap_.NextVersion();
    } else {
      version_ = overlap_.version();
    }
    out_ = std::move(changed);
  } catch (const std::system_error& error) {
    log::Error("maintenance", error.what());
    return false;
  }
  overlap_.Seen(version_);
  return true;
}

bool Maintenance::Refresh() {
  const std::uint64_t version = overlap_.version();
  if (path_.empty() || version == version_) return false;
  try {
    out_ = Read();
  } catch (const std::system_error& error) {
    log::Error("maintenance", error.what());
    return false;
  }
  version_ = version;
  return true;
}

}  // namespace brackenspoke::proxy
