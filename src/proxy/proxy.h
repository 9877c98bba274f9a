// SPDX-License-Identifier: Apache-2.0
//
// Proxy connects its components: they turn network events into events for the Balancer, which makes all
// decisions, and carry out its actions.
#ifndef LOAD_BALANCER_PROXY_PROXY_H_
#define LOAD_BALANCER_PROXY_PROXY_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "admin/admin_handler.h"
#include "admin/maintenance_controller.h"
#include "backends.h"
#include "clients.h"
#include "config.h"
#include "core/actions.h"
#include "core/door.h"
#include "core/limits.h"
#include "core/module_driver.h"
#include "core/pending.h"
#include "core/request_ids.h"
#include "core/requests.h"
#include "core/server_directory.h"
#include "event_counts.h"
#include "federation/link.h"
#include "fleet_link/discovery_duty.h"
#include "fleet_link/fleet_link.h"
#include "fleet_link/maintenance_duty.h"
#include "hot_restart.h"
#include "operators.h"
#include "recovery/own_verdicts.h"
#include "recovery/recovery.h"

namespace load_balancer::proxy {

class Proxy : private RequestHandler {
 public:
  // Starts to watch discovery and to listen. During a hot restart it listens once discovery has answered.
  Proxy(boost::asio::io_context& io, Config config);
  ~Proxy() override;

  const Config& config() const { return *config_; }
  // Replaces the configuration. A request whose head is complete keeps the rules of the previous one.
  void Reconfigure(Config config);

  // Stops after a grace period for new connections. Calls `done` when no request is pending.
  void Stop(std::function<void()> done);

  boost::asio::ip::tcp::endpoint address() const { return clients_.address(); }
  // The address for operators. The configuration must name one.
  boost::asio::ip::tcp::endpoint operators_address() const { return operators_->address(); }
  std::size_t backend_connections() const { return backends_.connections(); }
  std::size_t client_connections() const { return clients_.connections(); }
  std::size_t held() const { return pending_.size(); }
  std::size_t buffered() const { return memory_.buffered(); }  // bytes of buffered bodies

 private:
  RequestId OnRequest(ClientRequest request, std::shared_ptr<Responder> responder) override;
  void OnUploaded(RequestId request, Steady::time_point due) override;
  void OnClientGone(RequestId request) override;
  void OnClientUnknown(RequestId request) override;
  void OnResponseUnread(RequestIds::Key request) override;
  bool Ready() const override;
  std::shared_ptr<const Config> CurrentConfig() const override { return config_; }
  bool TakeOverflowMark(HttpRequest* message, const boost::asio::ip::address& peer) override;
  std::string EstimateText() const override;

  void OnLook();
  // Returns what the process holds, its limits, and the counts of events.
  std::string DescribeUsage() const;

  // The components refer to each other. They are destroyed in reverse order: first clients, which may end
  // attempts, then backends, and last the components that the events of both may reach.
  std::shared_ptr<const Config> config_;  // in force
  HotRestart hot_restart_;
  int processes_ = 1;             // the number that the module has
  std::size_t memory_of_others_;  // bytes that the other processes use or have set aside, as of the last poll
  MemoryBudget memory_;
  EventCounts events_;
  RequestIds request_ids_;
  PendingRequests pending_;
  Actions actions_;
  ModuleDriver module_;
  OwnVerdicts verdicts_;
  FederationLink federation_;
  FleetLink fleet_;
  MaintenanceDuty maintenance_;
  Requests requests_;
  Limits limits_;
  ServerDirectory servers_;
  MaintenanceController maintenance_controller_;
  DiscoveryDuty discovery_;
  Backends backends_;
  Clients clients_;
  Door door_;
  Recovery recovery_;
  AdminHandler admin_handler_;
  std::unique_ptr<Operators> operators_;  // null if the configuration has no address for them
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_PROXY_H_
