// SPDX-License-Identifier: Apache-2.0
/// @file
/// The list of servers, from discovery and operators' commands, and the subset that this proxy uses.
#ifndef LOAD_BALANCER_SRC_POLICY_SERVER_LIST_H_
#define LOAD_BALANCER_SRC_POLICY_SERVER_LIST_H_

#include <set>
#include <unordered_map>
#include <vector>

#include "policy/context.h"
#include "policy/server.h"

namespace load_balancer {

/// Holds the state of all listed servers, and of removed servers for a while.
class ServerList {
 public:
  explicit ServerList(Context& context) : context_(context) {}

  void ApplyUpdate(const ListUpdate& update);

  /// Starts or ends the maintenance of a server, which need not be listed yet; returns whether the servers
  /// in service may have changed.
  bool StartMaintenance(ServerId id);
  bool EndMaintenance(ServerId id);

  /// Adapts to settings that have been replaced.
  void HandleNewSettings() { RebuildRing(); }

  /// Records an attempt's outcome, which may eject the server.
  void RecordOutcome(Server& server, bool success);
  void ApplyPeerEjection(const PeerEjection& peer);
  void RestoreEjection(const RestoredEjection& restored);

  /// Returns to service the servers whose ejection time has passed; returns whether there were any.
  bool ReturnDueServers();
  TimePoint next_return() const { return next_return_; }

  /// Ends an interval of outlier detection.
  void EndDetectionInterval();
  Duration detection_interval() const { return detector_.interval(); }
  bool is_traffic_sparse() const { return detector_.is_traffic_sparse(); }

  /// Adapts outlier detection and the subset to the rate at which this proxy sends requests.
  void AdaptToRate(double requests_per_s);

  /// Recomputes the capacity if a usable server is in slow start, as its capacity grows with time.
  void RefreshCapacity();

  Server& at(ServerIndex index) { return servers_[index]; }
  const Server& at(ServerIndex index) const { return servers_[index]; }
  ServerIndex IndexOf(const Server& server) const {
    return static_cast<ServerIndex>(&server - servers_.data());
  }
  Server* Find(ServerId id);

  /// Returns the minimum share of its full capacity that a server has, given the time since its start.
  double CapacityShare(const Server& server) const;

  /// Returns the usable servers, ordered by a hash that is the same at all proxies.
  const std::vector<ServerIndex>& ring() const { return ring_; }
  /// Returns the usable servers to which this proxy sends requests.
  const std::vector<ServerIndex>& subset() const { return subset_; }

  /// Returns the capacity of the usable servers, in servers at full capacity.
  double listed_capacity() const { return listed_capacity_; }
  /// Returns the capacity of the usable servers that are not ejected, in servers at full capacity.
  double capacity_in_service() const { return capacity_in_service_; }

 private:
  void RebuildRing();
  void UpdateServersInService();
  void CountCapacity();
  void UpdateSubset();
  void HandleEjection(const Server& server);
  void BeginSlowStart(Server& server);
  ServerIndex AllocateServer();
  void ChangeState(Server& server, ServerState state, bool in_maintenance);
  int CountPeerEjections() const;

  Context& context_;
  std::vector<Server> servers_;
  OutlierDetector detector_;
  double listed_capacity_ = 0;
  double capacity_in_service_ = 0;
  bool is_any_in_slow_start_ = false;  // whether a usable server is in slow start
  std::vector<ServerIndex> ring_, subset_;
  std::unordered_map<ServerId, ServerIndex> index_;
  std::set<ServerId> in_maintenance_;
  std::size_t evaluable_servers_ = 0;  // number of servers at which the traffic reaches kRequestVolume
  TimePoint next_return_ = kNever;
};

}  // namespace load_balancer

#endif  // LOAD_BALANCER_SRC_POLICY_SERVER_LIST_H_
