// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The configuration's section `sites`: the sites of the federation, the gateways of each, and the pool that
/// all gateways are members of.
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
  boost::asio::ip::udp::endpoint pool;     ///< as a member of the federation's pool
  boost::asio::ip::tcp::endpoint clients;  ///< as a proxy; its own connections come from the same IP address
};

/// By name, which no two gateways of the federation share.
using SiteGateways = std::map<std::string, GatewayAddresses>;

/// The section; without it this process's site is the only one. Keys, units and ranges are in
/// docs/configuration.md.
struct SitesSection {
  bool on = false;
  std::string site;                                    ///< this process's
  boost::asio::ip::udp::endpoint bind;                 ///< this process's address in the pool
  boost::asio::ip::udp::endpoint advertise;            ///< where others reach it; `bind` unless it is set
  std::map<std::string, SiteGateways> gateways;        ///< by site
  std::vector<boost::asio::ip::udp::endpoint> voters;  ///< of the federation's leases: `pool` of gateways
  Milliseconds probe_interval{2000};
  int suspicion_multiplier = 5;
  Milliseconds sync_interval{15000};
  Milliseconds lease_term{3000};
  Milliseconds lease_drift{100};
  int max_bytes_per_second = 131072;  ///< sent by this process in the pool
};

/// Reads `sites` of the file's root object. Appends one line per fault to `faults`.
SitesSection ReadSites(const nlohmann::json& root, std::vector<std::string>* faults);

/// Whether the gateway `name` that serves clients at `listen` is listed as what it is. Appends one line per
/// fault to `faults`; none where the section is off.
void CheckSelf(const SitesSection& sites, const std::string& name,
               const boost::asio::ip::tcp::endpoint& listen, std::vector<std::string>* faults);

/// The site of a gateway; empty if there is none of that name.
std::string SiteOf(const SitesSection& sites, const std::string& gateway);

/// The pool as a fleet of its own: its timings, its voters as seeds, and no shared state but fenced values.
FleetSection PoolOf(const SitesSection& sites);

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_FEDERATION_SECTION_H_
