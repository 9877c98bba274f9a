// SPDX-License-Identifier: Apache-2.0
//
// What this process keeps for its next life, and takes from the one before or from a peer.
#ifndef LOAD_BALANCER_PROXY_RECOVERY_RECOVERY_H_
#define LOAD_BALANCER_PROXY_RECOVERY_RECOVERY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "config.h"
#include "state/snapshot_writer.h"

namespace load_balancer::proxy {

class FederationLink;
class FleetLink;
class ModuleDriver;
class OwnVerdicts;
class ServerDirectory;

class Recovery {
 public:
  // All that is given outlives this.
  Recovery(boost::asio::io_context& io, ModuleDriver& module, OwnVerdicts& verdicts,
           const ServerDirectory& servers, FleetLink& fleet, FederationLink& federation);

  // With a section `state`, after the fleet and the federation have begun: takes the last snapshot, if it
  // passes; without one, with a fleet, a peer's state, if it comes in time. Keeps snapshots at `path` from
  // then on.
  void Begin(const Config& config, const std::string& path);
  // Waits for a write under way; no snapshot is kept from then on.
  void End() { keeper_.reset(); }

  // A peer's state is waited for.
  bool Waits() const { return waits_; }
  // It has come.
  void OnJoined();

 private:
  nlohmann::json Collect() const;
  void Take(const nlohmann::json& body);

  boost::asio::io_context& io_;
  ModuleDriver& module_;
  OwnVerdicts& verdicts_;
  const ServerDirectory& servers_;
  FleetLink& fleet_;
  FederationLink& federation_;
  bool waits_ = false;
  boost::asio::steady_timer timer_;
  std::unique_ptr<state::Keeper> keeper_;  // where the configuration has a state section
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_RECOVERY_RECOVERY_H_
