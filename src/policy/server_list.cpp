// SPDX-License-Identifier: Apache-2.0
#include "policy/server_list.h"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "policy/server_subset.h"

namespace load_balancer {
namespace {

// Time after its removal for which the state of a server is kept.
constexpr Duration kForgetAfter{600000};
// From this number of servers on, the state of any removed server may be given up.
constexpr std::size_t kMaxServersKept = 8192;

}  // namespace

void ServerList::ApplyUpdate(const ListUpdate& update) {
  if (update.kind != ListKind::kDelta) {
    std::set<ServerId> listed;
    for (const ServerEntry& entry : update.entries) listed.insert(entry.server);
    for (Server& server : servers_) {
      if (!listed.contains(server.entry.server))
        ChangeState(server, ServerState::kGone, server.in_maintenance);
    }
  }
  for (const ServerEntry& entry : update.entries) {
    const bool is_new = !index_.contains(entry.server);
    if (is_new) {
      const ServerIndex index = AllocateServer();
      index_[entry.server] = index;
    }
    Server& server = servers_[index_[entry.server]];
    const bool has_started = is_new || entry.up_since != server.entry.up_since;
    ChangeState(server, entry.state, in_maintenance_.contains(entry.server));
    server.entry = entry;
    if (has_started && CapacityShare(server) < 1) BeginSlowStart(server);
  }
  RebuildRing();
}

bool ServerList::StartMaintenance(ServerId id) {
  in_maintenance_.insert(id);
  Server* server = Find(id);
  if (!server) return false;
  ChangeState(*server, server->entry.state, true);
  RebuildRing();
  return true;
}

// Resets the health of the server, as it has been restarted.
bool ServerList::EndMaintenance(ServerId id) {
  if (in_maintenance_.erase(id) == 0) return false;
  Server* server = Find(id);
  if (!server) return false;
  server->health = HostHealth();
  server->slowness = Slowness();
  server->maintenance_ended_at = context_.now();
  ChangeState(*server, server->entry.state, false);
  BeginSlowStart(*server);
  RebuildRing();
  return true;
}

void ServerList::RecordOutcome(Server& server, bool success) {
  HostHealth& health = server.health;
  if (!detector_.RecordResponse(health, server.IsUsable(), success, context_.now(), context_.random()))
    return;
  HandleEjection(server);
  if (is_traffic_sparse())
    context_.Emit(CloseIdle{server.entry.server});  // frees connections that other proxies may need
  context_.LogLine(LogTopic::kEjection, "server ", server.entry.server, " ejected: ", health.failures, " of ",
                   health.attempts(), " attempts failed");
  context_.Emit(
      Ejected{server.entry.server, health.return_at, health.failures, health.attempts(), health.multiplier});
}

void ServerList::ApplyPeerEjection(const PeerEjection& peer) {
  Server* server = Find(peer.server);
  if (!server || !server->IsUsable()) return;
  const bool is_ejected =
      detector_.ApplyPeerEjection(server->health, peer, CountPeerEjections(), context_.now());
  context_.LogLine(LogTopic::kPeerEjection, "server ", peer.server, is_ejected ? "" : " not",
                   " ejected on a peer's word: ", peer.failures, " of ", peer.attempts,
                   " attempts failed there");
  if (is_ejected) HandleEjection(*server);
}

int ServerList::CountPeerEjections() const {
  return static_cast<int>(std::count_if(servers_.begin(), servers_.end(), [](const Server& server) {
    return server.IsUsable() && server.health.is_ejected && server.health.is_peer_ejection;
  }));
}

void ServerList::RestoreEjection(const RestoredEjection& restored) {
  Server* server = Find(restored.server);
  if (!server || !server->IsUsable() || restored.until <= context_.now() || server->health.is_ejected) return;
  detector_.RestoreEjection(server->health, restored, context_.now());
  HandleEjection(*server);
}

bool ServerList::ReturnDueServers() {
  bool has_returned = false;
  next_return_ = kNever;
  for (Server& server : servers_) {
    if (detector_.ReturnIfDue(server.health, server.IsUsable(), context_.now())) {
      has_returned = true;
      context_.LogLine(LogTopic::kEjection, "server ", server.entry.server, " returns to service");
    } else if (server.health.is_ejected) {
      next_return_ = std::min(next_return_, server.health.return_at);
    }
  }
  UpdateServersInService();
  return has_returned;
}

void ServerList::EndDetectionInterval() {
  detector_.EndInterval();
  for (Server& server : servers_) OutlierDetector::EndHostInterval(server.health);
}

void ServerList::AdaptToRate(double requests_per_s) {
  const double volume_s =
      kRequestVolume * static_cast<double>(subset_.size()) / std::max(requests_per_s, 1e-9);
  detector_.SetVolumeInterval(Duration(volume_s * 1000));
  const auto evaluable_servers =
      static_cast<std::size_t>(requests_per_s * kDetectionInterval.count() / 1000 / kRequestVolume);
  // The subset grows as soon as the number of evaluable servers rises, but shrinks only if that number falls
  // below half. This avoids frequent changes, as each server that is added needs a connection.
  if (evaluable_servers <= evaluable_servers_ && evaluable_servers * 2 >= evaluable_servers_) return;
  evaluable_servers_ = evaluable_servers;
  UpdateSubset();
}

void ServerList::RefreshCapacity() {
  if (is_any_in_slow_start_) CountCapacity();
}

Server* ServerList::Find(ServerId id) {
  const auto found = index_.find(id);
  return found == index_.end() ? nullptr : &servers_[found->second];
}

double ServerList::CapacityShare(const Server& server) const {
  const Settings& settings = context_.settings();
  const TimePoint up_since = std::max(server.entry.up_since, server.maintenance_ended_at);
  if (up_since.time_since_epoch().count() <= 0) return 1;
  const double age = (context_.now() - up_since).count();
  const double window = settings.slow_start_window.count();
  if (window <= 0 || age >= window) return 1;
  return settings.slow_start_min_share + (1 - settings.slow_start_min_share) * std::max(0.0, age) / window;
}

void ServerList::RebuildRing() {
  ring_.clear();
  for (const Server& server : servers_) ring_.push_back(IndexOf(server));
  std::sort(ring_.begin(), ring_.end(), [this](ServerIndex left, ServerIndex right) {
    const std::uint32_t left_hash = MixBits(servers_[left].entry.server);
    const std::uint32_t right_hash = MixBits(servers_[right].entry.server);
    return left_hash != right_hash ? left_hash < right_hash : left < right;
  });
  UpdateServersInService();
}

// Recomputes the capacity and the subset after a change of the listed or ejected servers.
void ServerList::UpdateServersInService() {
  CountCapacity();
  UpdateSubset();
}

void ServerList::CountCapacity() {
  listed_capacity_ = 0;
  capacity_in_service_ = 0;
  is_any_in_slow_start_ = false;
  for (const Server& server : servers_) {
    if (!server.IsUsable()) continue;
    const double share = CapacityShare(server);
    if (share < 1) is_any_in_slow_start_ = true;
    listed_capacity_ += share;
    if (!server.health.is_ejected) capacity_in_service_ += share;
  }
}

void ServerList::UpdateSubset() {
  std::erase_if(ring_, [this](ServerIndex index) { return !servers_[index].IsUsable(); });
  const std::vector<ServerIndex> previous =
      std::exchange(subset_, ChooseSubset(servers_, ring_, context_.settings(), evaluable_servers_));
  for (const ServerIndex index : previous) {
    const bool is_dropped = std::find(subset_.begin(), subset_.end(), index) == subset_.end();
    if (is_dropped && servers_[index].IsUsable()) context_.Emit(CloseIdle{servers_[index].entry.server});
  }
}

// Updates the time of the next return to service and the servers in service after the detector has ejected
// the server.
void ServerList::HandleEjection(const Server& server) {
  next_return_ = std::min(next_return_, server.health.return_at);
  UpdateServersInService();
}

void ServerList::BeginSlowStart(Server& server) {
  server.slow_start.sent.clear();
  server.slow_start.last_sent_at = context_.now();
  server.slow_start.wait_fraction = context_.random().UniformReal();
}

// Returns the index for a new server. Reuses the index of a server that was removed long ago, or at any time
// if there are very many, and has no attempt outstanding, if such a server exists.
ServerIndex ServerList::AllocateServer() {
  const bool may_reuse_any = servers_.size() >= kMaxServersKept;
  const auto forgotten = std::find_if(servers_.begin(), servers_.end(), [&](const Server& server) {
    return server.entry.state == ServerState::kGone && server.load.attempts() == 0 &&
           (may_reuse_any || context_.now() - server.gone_since > kForgetAfter);
  });
  const auto index = static_cast<ServerIndex>(forgotten - servers_.begin());
  if (forgotten == servers_.end()) {
    servers_.emplace_back();
  } else {
    index_.erase(forgotten->entry.server);
  }
  servers_[index] = Server();
  servers_[index].entry.state = ServerState::kGone;
  servers_[index].gone_since = context_.now();
  return index;
}

void ServerList::ChangeState(Server& server, ServerState state, bool in_maintenance) {
  if (state == ServerState::kGone && server.entry.state != state) server.gone_since = context_.now();
  const bool was_usable = server.IsUsable();
  server.entry.state = state;
  server.in_maintenance = in_maintenance;
  if (server.IsUsable() && !was_usable) detector_.AddHost(server.health);
  if (!server.IsUsable() && was_usable) detector_.RemoveHost(server.health);
}

}  // namespace load_balancer
