// SPDX-License-Identifier: Apache-2.0
/// @file
/// The servers that discovery names and operators leave in service, and those of them that this proxy picks
/// from.
#ifndef LOAD_BALANCER_SRC_POLICY_SERVER_LIST_H_
#define LOAD_BALANCER_SRC_POLICY_SERVER_LIST_H_

#include <set>
#include <unordered_map>
#include <vector>

#include "policy/context.h"
#include "policy/server.h"

namespace load_balancer {

/// All servers that were ever listed and are not forgotten, with their health.
class ServerList {
 public:
  explicit ServerList(Context& context) : context_(context) {}

  void ApplyUpdate(const ListUpdate& update);

  /// Operators may do both before a list names the server. True if the servers in service may have changed.
  bool StartMaintenance(ServerId id);
  bool EndMaintenance(ServerId id);

  /// Adapts to settings that have been replaced.
  void HandleNewSettings() { RebuildRing(); }

  /// Counts an attempt's outcome; may eject the server.
  void RecordOutcome(Server& server, bool success);
  void ApplyPeerEjection(const PeerEjection& peer);
  void RestoreEjection(const RestoredEjection& restored);

  /// Returns servers to service whose ejection is over; true if one returned.
  bool ReturnDue();
  TimePoint next_return() const { return next_return_; }

  /// Ends an interval of outlier detection.
  void EndDetectionInterval();
  Duration detection_interval() const { return detector_.interval(); }
  bool is_traffic_sparse() const { return detector_.is_traffic_sparse(); }

  /// Adapts outlier detection and the subset to the rate at which this proxy sends.
  void AdaptToRate(double requests_per_s);

  /// Counts the capacity again if it changes with time.
  void RefreshCapacity();

  Server& at(ServerIndex index) { return servers_[index]; }
  const Server& at(ServerIndex index) const { return servers_[index]; }
  ServerIndex IndexOf(const Server& server) const {
    return static_cast<ServerIndex>(&server - servers_.data());
  }
  Server* Find(ServerId id);

  /// The share of its capacity that a server has at least, from the start of its process on.
  double CapacityShare(const Server& server) const;

  /// Usable servers, in the order of a hash that all proxies share.
  const std::vector<ServerIndex>& ring() const { return ring_; }
  /// Those of them that this proxy picks from.
  const std::vector<ServerIndex>& subset() const { return subset_; }

  /// Capacity of the usable servers, in servers at full capacity.
  double listed_capacity() const { return listed_capacity_; }
  /// The same without ejected servers.
  double capacity_in_service() const { return capacity_in_service_; }

 private:
  void RebuildRing();
  void ServiceChanged();
  void CountCapacity();
  void UpdateSubset();
  void LeaveService(const Server& server);
  void BeginSlowStart(Server& server);
  ServerIndex NewServer();
  void ChangeState(Server& server, ServerState state, bool in_maintenance);
  int AdvisedEjections() const;

  Context& context_;
  std::vector<Server> servers_;
  OutlierDetector detector_;
  double listed_capacity_ = 0;
  double capacity_in_service_ = 0;
  bool has_slow_start_ = false;  // some usable server is in slow start
  std::vector<ServerIndex> ring_, subset_;
  std::unordered_map<ServerId, ServerIndex> index_;
  std::set<ServerId> in_maintenance_;
  std::size_t judgeable_ = 0;  // servers that this proxy's traffic suffices to judge
  TimePoint next_return_ = kNever;
};

}  // namespace load_balancer

#endif  // LOAD_BALANCER_SRC_POLICY_SERVER_LIST_H_
