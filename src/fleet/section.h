// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The configuration section `fleet`: membership of the processes of a fleet and the state that they share.
#ifndef LOAD_BALANCER_FLEET_SECTION_H_
#define LOAD_BALANCER_FLEET_SECTION_H_

#include <boost/asio/ip/udp.hpp>
#include <chrono>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace load_balancer::fleet {

using Milliseconds = std::chrono::milliseconds;

/// The settings of the section. Without the section the process is not a member of a fleet. Keys, units and
/// ranges are documented in docs/configuration.md.
struct FleetSection {
  bool on = false;
  std::string name = "flintspar";       ///< name of the fleet; messages of other fleets are ignored
  boost::asio::ip::udp::endpoint bind;  ///< UDP address of this process
  std::vector<boost::asio::ip::udp::endpoint> seeds;  ///< members to ask for the table first; the voters
  Milliseconds probe_interval{1000};
  int suspicion_multiplier = 4;              ///< shortest suspicion of a small fleet, in probe intervals
  int indirect_probes = 3;                   ///< parameter k of SWIM (Das, Gupta, Motivala 2002)
  boost::asio::ip::udp::endpoint advertise;  ///< address at which others reach it; defaults to `bind`
  int retransmit_multiplier = 4;             ///< parameter lambda of SWIM
  Milliseconds sync_interval{10000};         ///< between exchanges of the complete member table
  Milliseconds forget_after{3600000};        ///< until a dead or departed member is forgotten
  int max_bytes_per_second = 65536;          ///< limit of what this process sends
  bool share_ejections = true;
  int server_limit = 0;              ///< requests in flight at one server, over all members; 0 means no limit
  int affinity_entries = 0;          ///< maximum number of entries; 0 means that affinity is not shared
  Milliseconds affinity_ttl{4000};   ///< time for which a server is assumed to be warm for a key
  Milliseconds lease_term{0};        ///< term of the lease of a duty; 0 means no leases
  Milliseconds lease_drift{100};     ///< maximum drift between two members' clocks over a term
  Milliseconds max_clock_skew{500};  ///< maximum lead of a member's wall clock over another's
};

/// Returns the longest time for which a member is suspected in a fleet of up to 10,000 members. No member may
/// be forgotten sooner.
Milliseconds LongestSuspicion(const FleetSection& fleet);

/// Reads the section `fleet` from the root object of the configuration file. Appends one line per fault to
/// `faults`.
FleetSection ReadFleet(const nlohmann::json& root, std::vector<std::string>* faults);

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_SECTION_H_
