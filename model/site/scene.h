// SPDX-License-Identifier: Apache-2.0
//
// A federation with servers and clients at each site, in one world.
#ifndef LOAD_BALANCER_MODEL_SITE_SCENE_H_
#define LOAD_BALANCER_MODEL_SITE_SCENE_H_

#include <functional>
#include <memory>
#include <vector>

#include "model/fleet/federation.h"
#include "model/site/clients.h"
#include "model/site/gateway.h"
#include "model/site/ledger.h"
#include "model/site/server.h"

namespace load_balancer::model {

struct SceneOptions {
  FederationOptions federation;
  Settings settings;        // of all gateways; `balancers` and `me` are set here
  std::size_t servers = 4;  // of each site
  ServerOptions server;
  ClientOptions clients;  // of each site; site, gateways, classes and seed are set here
};

class Scene {
 public:
  using Maker = std::function<std::unique_ptr<GatewayProgram>(Host&, const FleetSetup&, const GatewayOptions&,
                                                              Ledger&)>;
  static std::unique_ptr<GatewayProgram> PlainGateway(Host& host, const FleetSetup& setup,
                                                      const GatewayOptions& options, Ledger& ledger);

  Scene(std::uint64_t seed, const SceneOptions& options, Maker maker = PlainGateway);

  World& world() { return federation_.world(); }
  Federation& federation() { return federation_; }
  Ledger& ledger() { return ledger_; }
  GatewayProgram* gateway(std::size_t site, std::size_t member);
  // Machines of the world.
  std::size_t server(std::size_t site, std::size_t number) const { return servers_.at(site).at(number); }
  std::size_t clients(std::size_t site) const { return clients_.at(site); }
  // Null while it is down.
  ClientPool* pool(std::size_t site) { return static_cast<ClientPool*>(world().program(clients(site))); }

 private:
  void AddSite(std::uint64_t seed, const SceneOptions& options, std::size_t site);

  Ledger ledger_;
  Federation federation_;
  std::vector<std::vector<std::size_t>> servers_;
  std::vector<std::size_t> clients_;
};

}  // namespace load_balancer::model

#endif  // LOAD_BALANCER_MODEL_SITE_SCENE_H_
