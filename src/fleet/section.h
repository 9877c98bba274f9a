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
  /// Members from which this process first requests the member table. They are also the voters on leases.
  std::vector<boost::asio::ip::udp::endpoint> seeds;
  Milliseconds probe_interval{1000};
  int suspicion_multiplier = 4;              ///< shortest suspicion time in a small fleet, in probe intervals
  int indirect_probes = 3;                   ///< parameter k of SWIM (Das, Gupta, Motivala 2002)
  boost::asio::ip::udp::endpoint advertise;  ///< address that other members use; defaults to `bind`
  int retransmit_multiplier = 4;             ///< parameter lambda of SWIM
  Milliseconds sync_interval{10000};         ///< time between exchanges of the complete member table
  Milliseconds forget_after{3600000};        ///< time until a dead or departed member is forgotten
  int max_bytes_per_second = 65536;          ///< maximum number of bytes that this process sends per second
  bool share_ejections = true;
  int server_limit = 0;              ///< maximum requests in flight at a server, over all members; 0: none
  int affinity_entries = 0;          ///< maximum number of stored affinities; 0 means that none are shared
  Milliseconds affinity_ttl{4000};   ///< time for which a server is assumed to be warm for a key
  Milliseconds lease_term{0};        ///< term of the lease of a role; 0 means no leases
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
