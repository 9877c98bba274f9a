// SPDX-License-Identifier: Apache-2.0
#include "fleet_link/maintenance_changes.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <system_error>
#include <utility>

#include "base/log.h"
#include "proxy/failures.h"
#include "state/snapshot_file.h"

namespace load_balancer::proxy {
namespace {

constexpr char kDetached[] = "out";
constexpr char kAttached[] = "in";

// Writes one change to a line: "out" or "in", the token, the end of its time and the id.
std::string ToLine(const std::string& id, const MaintenanceChange& change) {
  std::ostringstream line;
  line << (change.is_detached ? kDetached : kAttached) << ' ' << change.token << ' ' << change.until << ' '
       << id << '\n';
  return line.str();
}

bool ReadLine(const std::string& line, std::string* id, MaintenanceChange* change) {
  std::istringstream words(line);
  std::string state;
  if (!(words >> state >> change->token >> change->until >> *id)) return false;
  change->is_detached = state == kDetached;
  return change->is_detached || state == kAttached;
}

}  // namespace

void MaintenanceChanges::Load(fleet::UnixMs now) {
  if (path_.empty()) return;
  std::ifstream file(path_);
  for (std::string line; std::getline(file, line);) {
    std::string id;
    MaintenanceChange change;
    if (!ReadLine(line, &id, &change)) {
      log::Error("maintenance", Failure(kMaintenanceFile, path_, "not a change: " + line));
      continue;
    }
    if (change.until <= now) continue;
    Entry& entry = entries_[id];
    if (entry.change.until < change.until) entry = {change, /*is_own=*/true, /*is_settled=*/false};
  }
}

std::optional<MaintenanceChange> MaintenanceChanges::RecordOwn(const std::string& id,
                                                               MaintenanceChange change) {
  Entries before = entries_;
  Entries entries = entries_;
  Entry& entry = entries[id];
  change.until = std::max(change.until, entry.change.until + 1);
  entry = {change, /*is_own=*/true, /*is_settled=*/false};
  if (Replace(std::move(entries))) return change;
  entries_ = std::move(before);
  return std::nullopt;
}

void MaintenanceChanges::Merge(const std::string& id, const MaintenanceChange& change) {
  const auto known = entries_.find(id);
  if (known != entries_.end() && known->second.change.until >= change.until) return;
  Entries entries = entries_;
  entries[id] = {change, /*is_own=*/false, /*is_settled=*/false};
  Replace(std::move(entries));
}

void MaintenanceChanges::Settle(const std::set<std::string>& published, fleet::FencingToken token,
                                fleet::UnixMs now) {
  Entries entries = entries_;
  std::erase_if(entries, [now](const auto& each) { return each.second.change.until <= now; });
  for (auto& [id, entry] : entries) {
    const bool is_contained = published.contains(id) == entry.change.is_detached;
    entry.is_settled |= entry.change.token < token && is_contained;
  }
  Replace(std::move(entries));
}

std::set<std::string> MaintenanceChanges::ApplyTo(std::set<std::string> published) const {
  for (const auto& [id, entry] : entries_) {
    if (entry.is_settled) continue;
    if (entry.change.is_detached)
      published.insert(id);
    else
      published.erase(id);
  }
  return published;
}

std::map<std::string, MaintenanceChange> MaintenanceChanges::UnsettledOwn() const {
  std::map<std::string, MaintenanceChange> own;
  for (const auto& [id, entry] : entries_)
    if (entry.is_own && !entry.is_settled) own[id] = entry.change;
  return own;
}

bool MaintenanceChanges::Replace(Entries entries) {
  const auto before = UnsettledOwn();
  entries_ = std::move(entries);
  const auto after = UnsettledOwn();
  if (path_.empty() || after == before) return true;
  std::string lines;
  for (const auto& [id, change] : after) lines += ToLine(id, change);
  try {
    state::WriteAtomically(path_, "",
                           std::span(reinterpret_cast<const std::uint8_t*>(lines.data()), lines.size()));
  } catch (const std::system_error& error) {
    log::Error("maintenance", Failure(kMaintenanceFile, path_, error.what()));
    return false;
  }
  return true;
}

}  // namespace load_balancer::proxy
