// SPDX-License-Identifier: Apache-2.0
//
// The configuration's section `fleet`: membership among the processes of a fleet, and what they share.
#ifndef LOAD_BALANCER_FLEET_SECTION_H_
#define LOAD_BALANCER_FLEET_SECTION_H_

#include <boost/asio/ip/udp.hpp>
#include <chrono>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace load_balancer::fleet {

using Milliseconds = std::chrono::milliseconds;

// `fleet`: absent, membership is off. Keys, units and ranges are in docs/configuration.md.
struct FleetSection {
  bool on = false;
  std::string name = "flintspar";                     // processes of other fleets are not members
  boost::asio::ip::udp::endpoint bind;                // this process's UDP address
  std::vector<boost::asio::ip::udp::endpoint> seeds;  // whom to ask first
  Milliseconds probe_interval{1000};
  int suspicion_multiplier = 4;              // a suspect is dead after this many probe intervals
  int indirect_probes = 3;                   // k of SWIM (Das, Gupta, Motivala 2002)
  boost::asio::ip::udp::endpoint advertise;  // where others reach this process; `bind` unless it is set
  int retransmit_multiplier = 4;             // lambda of SWIM
  Milliseconds sync_interval{10000};         // between two exchanges of the whole table
  Milliseconds forget_after{3600000};        // until one that is dead or has left is dropped from the table
  int max_bytes_per_second = 65536;          // sent by this process
  bool share_ejections = true;
  int server_limit = 0;              // requests in flight at one server, of all members; 0: no limit
  int affinity_entries = 0;          // at most; 0: affinity is not shared
  Milliseconds affinity_ttl{4000};   // how long a key is taken to be warm where it was met
  Milliseconds lease_term{0};        // of a duty that one member does at a time; 0: no leases
  Milliseconds lease_drift{100};     // that two members' clocks may differ over a term
  Milliseconds max_clock_skew{500};  // that a member's wall clock may be ahead of another's
};

// In a fleet of up to 10,000: no member may be forgotten sooner.
Milliseconds LongestSuspicion(const FleetSection& fleet);

// Reads `fleet` of the file's root object. Appends one line per fault to `faults`.
FleetSection ReadFleet(const nlohmann::json& root, std::vector<std::string>* faults);

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_SECTION_H_
