// SPDX-License-Identifier: Apache-2.0
#include "model/site/scene.h"

#include <utility>

namespace load_balancer::model {
namespace {

constexpr unsigned short kPort = 8080;
constexpr std::uint32_t kServers = 0x0a800000, kClients = 0x0ac00000;  // 10.128.0.0 and 10.192.0.0

Endpoint ServerAt(std::size_t site, std::size_t number) {
  return {boost::asio::ip::address_v4(kServers + static_cast<std::uint32_t>(site * 1024 + number)), kPort};
}

std::string Named(const char* kind, std::size_t site, std::size_t number) {
  return std::string(kind).append(std::to_string(site + 1)).append(".").append(std::to_string(number + 1));
}

Federation::ProgramFactory MakerOf(const SceneOptions& options, Scene::Maker maker, Ledger& ledger) {
  return [options, maker = std::move(maker), &ledger](Host& host, const FleetSetup& setup) {
    GatewayOptions of{options.settings, {}, setup.site_pool.seed};
    of.settings.balancer_count = static_cast<int>(options.federation.members);
    of.settings.balancer_index = static_cast<int>(setup.member);
    for (std::size_t i = 0; i < options.servers; ++i) of.servers.push_back(ServerAt(setup.site, i));
    return maker(host, setup, of, ledger);
  };
}

}  // namespace

std::unique_ptr<GatewayProgram> Scene::PlainGateway(Host& host, const FleetSetup& setup,
                                                    const GatewayOptions& options, Ledger& ledger) {
  return std::make_unique<GatewayProgram>(host, setup, options, ledger);
}

Scene::Scene(std::uint64_t seed, const SceneOptions& options, Maker maker)
    : federation_(seed, options.federation, MakerOf(options, std::move(maker), ledger_)) {
  for (std::size_t site = 0; site < options.federation.sites; ++site) AddSite(seed, options, site);
}

void Scene::AddSite(std::uint64_t seed, const SceneOptions& options, std::size_t site) {
  Network& network = world().network();
  servers_.emplace_back();
  for (std::size_t i = 0; i < options.servers; ++i) {
    network.Place(world().size(), site);
    servers_.back().push_back(
        world().Add(Named("server", site, i), ServerAt(site, i), [this, of = options.server](Host& host) {
          return std::make_unique<StandServer>(host, of, ledger_);
        }));
  }
  ClientOptions of = options.clients;
  of.site = static_cast<int>(site);
  of.classes = options.settings.classes;
  of.seed = seed * 1000003 + site;
  for (std::size_t i = 0; i < options.federation.members; ++i)
    of.gateways.push_back(Federation::AddressOf(federation_.MachineIndex(site, i)));
  network.Place(world().size(), site);
  const Endpoint address(boost::asio::ip::address_v4(kClients + static_cast<std::uint32_t>(site)), kPort);
  clients_.push_back(world().Add(Named("clients", site, 0), address, [this, of](Host& host) {
    return std::make_unique<ClientPool>(host, of, ledger_);
  }));
}

GatewayProgram* Scene::gateway(std::size_t site, std::size_t member) {
  return static_cast<GatewayProgram*>(federation_.program(federation_.MachineIndex(site, member)));
}

}  // namespace load_balancer::model
