// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The configuration section `sites`. It lists the sites of the federation and the gateways of each site, and
/// configures the pool, which is the fleet that all gateways of the federation belong to.
#ifndef LOAD_BALANCER_FLEET_FEDERATION_SECTION_H_
#define LOAD_BALANCER_FLEET_FEDERATION_SECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "fleet/section.h"

namespace load_balancer::fleet {

/// The addresses at which other sites reach a gateway.
struct GatewayAddresses {
  boost::asio::ip::udp::endpoint pool;  ///< UDP address as a member of the pool
  /// TCP address at which the gateway serves clients. Connections that the gateway opens use the same IP
  /// address.
  boost::asio::ip::tcp::endpoint clients;
};

/// The gateways of one site by name. Names are unique in the federation.
using SiteGateways = std::map<std::string, GatewayAddresses>;

/// The settings of the section. Without the section there is only the site of this process. Keys, units and
/// ranges are documented in docs/configuration.md.
struct SitesSection {
  bool on = false;
  std::string site;                                    ///< name of this process's site
  boost::asio::ip::udp::endpoint bind;                 ///< UDP address of this process in the pool
  boost::asio::ip::udp::endpoint advertise;            ///< address that other members use; defaults to `bind`
  std::map<std::string, SiteGateways> gateways;        ///< gateways of each site, by the site's name
  std::vector<boost::asio::ip::udp::endpoint> voters;  ///< pool addresses of the gateways that vote on leases
  Milliseconds probe_interval{2000};
  int suspicion_multiplier = 5;
  Milliseconds sync_interval{15000};
  Milliseconds lease_term{3000};
  Milliseconds lease_drift{100};
  int max_bytes_per_second = 131072;  ///< maximum number of bytes per second sent in the pool
};

/// Reads the section `sites` from the root object of the configuration file. Appends one line per fault to
/// `faults`.
SitesSection ReadSites(const nlohmann::json& root, std::vector<std::string>* faults);

/// Checks that the section lists this gateway with its own addresses: `name` is the gateway's name and
/// `listen` the address at which it serves clients. Appends one line per fault to `faults`, and nothing if
/// the section is absent.
void CheckSelf(const SitesSection& sites, const std::string& name,
               const boost::asio::ip::tcp::endpoint& listen, std::vector<std::string>* faults);

/// Returns the site of a gateway, or an empty string if there is no gateway of that name.
std::string SiteOf(const SitesSection& sites, const std::string& gateway);

/// Returns the fleet section of the pool. The timings and the voters of `sites` become the timings and the
/// seeds of the pool, whose members share no state except fenced values.
FleetSection PoolOf(const SitesSection& sites);

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_FEDERATION_SECTION_H_
