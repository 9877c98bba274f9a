// SPDX-License-Identifier: Apache-2.0
//
// The single changes that make up the fleet's maintenance set. The set itself is replaced whole by each
// holder of the lease, so a change that a holder has acknowledged while it was cut off is missing in the set
// of the next holder. The changes are merged instead: of two changes of one backend, the later one wins.
#ifndef LOAD_BALANCER_PROXY_FLEET_LINK_MAINTENANCE_CHANGES_H_
#define LOAD_BALANCER_PROXY_FLEET_LINK_MAINTENANCE_CHANGES_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "fleet/lease/message.h"
#include "fleet/state/entry.h"

namespace load_balancer::proxy {

// MaintenanceChange is the last acknowledged DETACH or ATTACH of one backend.
struct MaintenanceChange {
  bool is_detached = false;
  fleet::FencingToken token = 0;  // of the lease under which it was made
  // Unix time in ms at which the change is forgotten. All changes last equally long, so that this also orders
  // them by the time at which they were made.
  fleet::UnixMs until = 0;
  bool operator==(const MaintenanceChange&) const = default;
};

// MaintenanceChanges merges changes into maintenance sets, and keeps those of this process in a file until a
// later holder's set contains them. Not thread-safe.
class MaintenanceChanges {
 public:
  // `path` names the file; empty to keep nothing. The file is not read before Load.
  explicit MaintenanceChanges(std::string path) : path_(std::move(path)) {}

  // Reads the changes that a former process of this proxy has kept, as changes of this process. Leaves out
  // those whose time is over at `now`, and lines that are not in form, which are logged.
  void Load(fleet::UnixMs now);
  // Adds a change of this process. It is later than all known changes of the backend: if its time is not,
  // because another member's clock is ahead, it is moved behind theirs. Returns the change as it was added,
  // or nothing, with nothing changed, if it cannot be kept.
  std::optional<MaintenanceChange> RecordOwn(const std::string& id, MaintenanceChange change);
  // Goes back to a former state, in the file too.
  void Restore(MaintenanceChanges before) { Replace(std::move(before.entries_)); }
  // Adds a change of another member, unless a later change of the backend is known.
  void Merge(const std::string& id, const MaintenanceChange& change);
  // Notes that the holder of the lease with this token has published this set. A change under an earlier
  // lease that the set contains has reached the holder, which decides from then on. Forgets changes whose
  // time is over at `now`.
  void Settle(const std::set<std::string>& published, fleet::FencingToken token, fleet::UnixMs now);

  // Returns a published set with all changes that have not been settled.
  std::set<std::string> ApplyTo(std::set<std::string> published) const;
  // Returns the changes of this process that have not been settled, by backend id.
  std::map<std::string, MaintenanceChange> UnsettledOwn() const;

 private:
  struct Entry {
    MaintenanceChange change;
    bool is_own = false;
    bool is_settled = false;
  };
  using Entries = std::map<std::string, Entry>;

  // Replaces the entries and, if those of this process differ, the file. Returns false if the file cannot be
  // written; the entries are replaced nevertheless.
  bool Replace(Entries entries);

  std::string path_;
  Entries entries_;  // by backend id
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_FLEET_LINK_MAINTENANCE_CHANGES_H_
