// SPDX-License-Identifier: Apache-2.0
//
// The configuration's section `sites`: which sites there are, the gateways of each, and the pool that all
// gateways are members of.
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

// Where other sites reach a gateway.
struct GatewayAddresses {
  boost::asio::ip::udp::endpoint pool;     // as a member of the federation's pool
  boost::asio::ip::tcp::endpoint clients;  // as a proxy; its IP is also where its own connections come from
};

// By their names, which no two gateways of the federation share.
using SiteGateways = std::map<std::string, GatewayAddresses>;

// `sites`: absent, this process's site is alone. Keys, units and ranges are in docs/configuration.md.
struct SitesSection {
  bool on = false;
  std::string site;                                    // this process's
  boost::asio::ip::udp::endpoint bind, advertise;      // of the pool; `advertise` is `bind` unless it is set
  std::map<std::string, SiteGateways> gateways;        // by site
  std::vector<boost::asio::ip::udp::endpoint> voters;  // for the federation's leases: gateways, by `pool`
  Milliseconds probe_interval{2000};
  int suspicion_multiplier = 5;
  Milliseconds sync_interval{15000};
  Milliseconds lease_term{3000};
  Milliseconds lease_drift{100};
  int max_bytes_per_second = 131072;  // sent by this process in the pool
};

// Reads `sites` of the file's root object. Appends one line per fault to `faults`.
SitesSection ReadSites(const nlohmann::json& root, std::vector<std::string>* faults);

// Whether the gateway `name` that serves clients at `listen` is listed as what it is. Appends one line per
// fault to `faults`; none where the section is off.
void CheckSelf(const SitesSection& sites, const std::string& name,
               const boost::asio::ip::tcp::endpoint& listen, std::vector<std::string>* faults);

// The site of a gateway; empty if there is none of that name.
std::string SiteOf(const SitesSection& sites, const std::string& gateway);

// The pool as a fleet of its own: its timings, its voters as seeds, and nothing shared but duties' facts.
FleetSection PoolOf(const SitesSection& sites);

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_FEDERATION_SECTION_H_
