// SPDX-License-Identifier: Apache-2.0
//
// Where this process's list of servers comes from: discovery itself, which the duty's holder alone watches,
// or the holder, who makes what it hears known to the fleet.
#ifndef LOAD_BALANCER_PROXY_FLEET_LINK_DISCOVERY_DUTY_H_
#define LOAD_BALANCER_PROXY_FLEET_LINK_DISCOVERY_DUTY_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "config.h"
#include "discovery.h"
#include "fleet/state/state.h"
#include "members.h"

namespace load_balancer::proxy {

class Door;
class FleetLink;
class MemoryBudget;
class ModuleDriver;
class ServerDirectory;

class DiscoveryDuty {
 public:
  // All but `config` outlives the last call; it need not be made yet.
  DiscoveryDuty(boost::asio::io_context& io, const Config& config, ModuleDriver& module,
                ServerDirectory& servers, Door& door, FleetLink& fleet, const MemoryBudget& memory);

  // Opens the watch if this process does the duty.
  void Watch();
  // The module wants to hear of changes from here on.
  void Subscribe();
  void MoveTo(const boost::asio::ip::tcp::endpoint& address) { discovery_.MoveTo(address); }

  // What the fleet may be told before discovery has said anything.
  void Know(const std::vector<Member>& members);
  // This process has become the duty's holder, or is it no more.
  void OnLeaseStatus();
  // A list's entry from the holder, which has it from discovery.
  void OnFact(const fleet::FencedValue& fact);

 private:
  void OnNews(const MemberList& list);
  void ForgetGone();
  void Record(const MemberList& list);
  // The entries of these servers, as far as this process holds the duty's lease.
  void Publish(const std::vector<std::string>& ids);

  ModuleDriver& module_;
  ServerDirectory& servers_;
  Door& door_;
  FleetLink& fleet_;
  std::map<std::string, Member> known_;  // with a fleet: as last told, those that are gone among them
  std::uint64_t revision_ = 0;           // of discovery's list, as last told
  Discovery discovery_;
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_FLEET_LINK_DISCOVERY_DUTY_H_
