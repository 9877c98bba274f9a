// SPDX-License-Identifier: Apache-2.0
//
// The proxy: turns what happens on sockets into events for its Balancer, and carries out the actions. Every
// decision is the Balancer's. This wires the parts together; each has one concern.
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
#include "core/requests.h"
#include "core/server_directory.h"
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
  // Watches discovery from here on, and listens: at once, or beside another process of this proxy once the
  // list is fresh.
  Proxy(boost::asio::io_context& io, Config config);
  ~Proxy() override;

  const Config& config() const { return *config_; }
  // From now on; requests that are open keep what was in force when they came.
  void Reconfigure(Config config);

  // Serves what comes for a while yet; `done` is called when nothing is held any more.
  void Stop(std::function<void()> done);

  boost::asio::ip::tcp::endpoint address() const { return clients_.address(); }
  // Where operators call; of a configuration that names it.
  boost::asio::ip::tcp::endpoint operators_address() const { return operators_->address(); }
  std::size_t backend_connections() const { return backends_.connections(); }
  std::size_t client_connections() const { return clients_.connections(); }
  std::size_t held() const { return pending_.size(); }
  std::size_t buffered() const { return buffers_.reserved(); }  // bytes of messages held whole

 private:
  RequestId OnRequest(ClientRequest request, std::shared_ptr<Responder> responder) override;
  void OnUploaded(RequestId request, Steady::time_point due) override;
  void OnClientGone(RequestId request) override;
  bool Ready() const override;
  std::shared_ptr<const Config> CurrentConfig() const override { return config_; }
  bool TakeOverflowMark(HttpRequest* message, const boost::asio::ip::address& peer) override;
  std::string EstimateText() const override;

  void OnLook();

  // The parts know each other by reference. Clients end first, which may end attempts, and then backends: all
  // that an event may reach is above them.
  std::shared_ptr<const Config> config_;  // in force
  HotRestart hot_restart_;
  int processes_ = 1;  // that the module was told of
  Buffers buffers_;
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
  std::unique_ptr<Operators> operators_;  // where the configuration names their address
};

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_PROXY_H_
