// SPDX-License-Identifier: Apache-2.0
#include "core/server_directory.h"

#include <algorithm>
#include <utility>

#include "backends.h"
#include "base/log.h"
#include "core/module_driver.h"
#include "recovery/own_verdicts.h"

namespace load_balancer::proxy {
namespace {

constexpr std::size_t kMaxUnlistedServers = 4096;  // that are kept

}  // namespace

ServerDirectory::ServerDirectory(std::vector<std::string> zones, std::vector<std::string> kinds,
                                 ModuleDriver& module, Backends& backends, OwnVerdicts& verdicts,
                                 std::size_t max_servers)
    : zones_(std::move(zones)),
      kinds_(std::move(kinds)),
      module_(module),
      backends_(backends),
      verdicts_(verdicts),
      max_servers_(max_servers) {}

void ServerDirectory::Take(const MemberList& list, ListKind kind) {
  numbers_.Learn(list.members);
  if (kind != ListKind::kDelta) {
    std::unordered_set<ServerId> named;
    for (const Member& m : list.members) named.insert(numbers_.Of(m.id));
    backends_.RetireOthers(named);
    in_list_.clear();
  }
  ListUpdate update;
  update.kind = kind;
  std::size_t left_out = 0;
  for (const Member& m : list.members) {
    if (IsTooMany(m)) {
      ++left_out;
      continue;
    }
    if (m.state == ServerState::kGone)
      in_list_.erase(m.id);
    else
      in_list_.insert(m.id);
    const ServerEntry& entry = update.entries.emplace_back(Entry(m));
    if (m.state == ServerState::kReady) {
      backends_.Set(entry.server, m.address, m.up_since_unix_ms);
    } else {
      backends_.Retire(entry.server);
    }
  }
  listed_ |= !list.members.empty();
  module_.Feed(std::move(update));
  backends_.CancelOutdated();
  verdicts_.Restore(*this);
  if (left_out > 0)
    log::Info("discovery", std::to_string(left_out) + " servers left out: memory_mb allows " +
                               std::to_string(max_servers_));
  ForgetUnlisted();
}

bool ServerDirectory::IsTooMany(const Member& member) const {
  return member.state != ServerState::kGone && !in_list_.contains(member.id) &&
         in_list_.size() >= max_servers_;
}

// Limits what is kept of servers that are not listed any more, of which a list may name ever new ones.
void ServerDirectory::ForgetUnlisted() {
  if (numbers_.size() <= in_list_.size() + kMaxUnlistedServers) return;
  std::unordered_set<ServerId> listed;
  for (const std::string& id : in_list_) listed.insert(numbers_.Of(id));
  backends_.ForgetUnused(listed);
  numbers_.KeepOnly(in_list_);
}

ServerEntry ServerDirectory::Entry(const Member& member) const {
  ServerEntry entry;
  entry.server = numbers_.Of(member.id);
  entry.zone = ZoneOf(member.zone);
  entry.kind = static_cast<int>(std::find(kinds_.begin(), kinds_.end(), member.kind) - kinds_.begin());
  entry.cell = member.cell;
  entry.state = member.state;
  entry.weight = member.weight;
  entry.up_since = module_.clock().FromUnix(member.up_since_unix_ms);
  return entry;
}

// A zone that is not in the settings gets an index of its own, derived from its name.
int ServerDirectory::ZoneOf(const std::string& name) const {
  const auto found = std::find(zones_.begin(), zones_.end(), name);
  if (found != zones_.end()) return static_cast<int>(found - zones_.begin());
  return static_cast<int>(0x10000 + (StableHash(name) & 0x3fffffff));
}

}  // namespace load_balancer::proxy
