// SPDX-License-Identifier: Apache-2.0
//
// This process as a member of its site's fleet: what the fleet tells goes to the module and to the duties.
#ifndef LOAD_BALANCER_PROXY_FLEET_LINK_FLEET_LINK_H_
#define LOAD_BALANCER_PROXY_FLEET_LINK_FLEET_LINK_H_

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>

#include "config.h"
#include "fleet/node/fleet_listener.h"
#include "fleet/node/node.h"

namespace load_balancer::proxy {

class DiscoveryDuty;
class MaintenanceDuty;
class ModuleDriver;
class Recovery;
class ServerDirectory;

class FleetLink : private fleet::FleetListener {
 public:
  // All that is given outlives the last call; it need not be made yet.
  FleetLink(ModuleDriver& module, const ServerDirectory& servers, DiscoveryDuty& discovery,
            MaintenanceDuty& maintenance, Recovery& recovery)
      : module_(module),
        servers_(servers),
        discovery_(discovery),
        maintenance_(maintenance),
        recovery_(recovery) {}
  FleetLink(const FleetLink&) = delete;
  FleetLink& operator=(const FleetLink&) = delete;

  // Joins, with a section `fleet`. `votes` is the file for this voter's votes; empty: none.
  // Stores no more affinities than fit into `affinity_bytes`, whatever the configuration allows.
  void Begin(boost::asio::io_context& io, const Config& config, const std::string& votes,
             std::size_t affinity_bytes);
  void End() { node_.reset(); }

  // Null where the configuration has no section `fleet`, before Begin and after End.
  fleet::Node* node() { return node_.get(); }
  const fleet::Node* node() const { return node_.get(); }
  // Whether the duty is this process's to do.
  bool Does(const char* duty) const { return !node_ || node_->IsResponsibleFor(duty); }

 private:
  bool IsListed(const std::string& server) const override;
  void OnEjection(const fleet::Ejection& ejection) override;
  void OnKeyAffinity(const fleet::KeyAffinity& affinity, fleet::UnixMs written) override;
  void OnLimitShare(int max_in_flight) override;
  void OnJoined() override;
  void OnLeaseStatus(const std::string& duty, fleet::LeaseStatus status) override;
  void OnFencedValue(const fleet::FencedValue& fenced) override;

  ModuleDriver& module_;
  const ServerDirectory& servers_;
  DiscoveryDuty& discovery_;
  MaintenanceDuty& maintenance_;
  Recovery& recovery_;
  std::map<std::string, bool> held_;  // duties, whether this process holds their leases
  std::unique_ptr<fleet::Node> node_;
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_FLEET_LINK_FLEET_LINK_H_
