// SPDX-License-Identifier: Apache-2.0
#include "maintenance.h"

#include <cerrno>
#include <filesystem>
#include <fstream>
#include <system_error>
#include <utility>

#include "base/log.h"
#include "proxy/failures.h"
#include "state/snapshot_file.h"

namespace load_balancer::proxy {

Maintenance::Maintenance(std::string path, HotRestart& hot_restart)
    : path_(std::move(path)), hot_restart_(hot_restart), version_(hot_restart.maintenance_version()) {
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

// On the disk before anybody is told.
void Maintenance::Write(const std::set<std::string>& out) const {
  std::string lines;
  for (const std::string& id : out) lines += id + '\n';
  state::WriteAtomically(path_, "",
                         std::span(reinterpret_cast<const std::uint8_t*>(lines.data()), lines.size()));
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
    const HotRestart::MaintenanceLock lock = hot_restart_.LockMaintenance();
    const std::set<std::string> before = Read();  // another process may have changed it since
    std::set<std::string> changed = before;
    edit(changed);
    if (changed != before) {
      Write(changed);
      version_ = hot_restart_.AdvanceMaintenanceVersion();
    } else {
      version_ = hot_restart_.maintenance_version();
    }
    out_ = std::move(changed);
  } catch (const std::system_error& error) {
    log::Error("maintenance", Failure(kMaintenanceFile, path_, error.what()));
    return false;
  }
  hot_restart_.AcknowledgeMaintenance(version_);
  return true;
}

bool Maintenance::Refresh() {
  const std::uint64_t version = hot_restart_.maintenance_version();
  if (path_.empty() || version == version_) return false;
  try {
    out_ = Read();
  } catch (const std::system_error& error) {
    log::Error("maintenance", Failure(kMaintenanceFile, path_, error.what()));
    return false;
  }
  version_ = version;
  return true;
}

}  // namespace load_balancer::proxy
