// SPDX-License-Identifier: Apache-2.0
//
// The configuration's own sections, checked key by key: `fleet` (membership among the processes of a fleet)
// and `state` (where a process keeps what must outlive it). Every fault is found, not only the first.
#ifndef BRACKENSPOKE_PROXY_SCHEMA_H_
#define BRACKENSPOKE_PROXY_SCHEMA_H_

#include <boost/asio/ip/udp.hpp>
#include <chrono>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace brackenspoke::proxy {

using Milliseconds = std::chrono::milliseconds;

// `fleet`: absent, membership is off. Keys, units and ranges are in docs/configuration.md.
struct FleetSection {
  bool on = false;
  std::string name = "flintspar";                     // processes of other fleets are not members
  boost::asio::ip::udp::endpoint bind;                // this process's UDP address
  std::vector<boost::asio::ip::udp::endpoint> seeds;  // whom to ask first
  Milliseconds probe_interval{1000};
  int suspicion_multiplier = 4;  // a suspect is dead after this many probe intervals
  int indirect_probes = 3;       // k of SWIM (Das, Gupta, Motivala 2002)
};

// `state`: absent, the directory is $TMPDIR as before.
struct StateSection {
  std::string dir;  // empty: $TMPDIR
  Milliseconds snapshot_interval{5000};
  Milliseconds max_age{60000};  // an older snapshot is not applied
};

// Reads `fleet` and `state` of the file's root object. Appends one line per fault to `faults`: an unknown
// key, a value of the wrong type, a figure out of range, an address that is none.
FleetSection ReadFleet(const nlohmann::json& root, std::vector<std::string>* faults);
StateSection ReadState(const nlohmann::json& root, std::vector<std::string>* faults);

// Keys of the root object that no part of the program reads, one line each.
std::vector<std::string> UnknownTopKeys(const nlohmann::json& root);

}  // namespace brackenspoke::proxy

#endif  // BRACKENSPOKE_PROXY_SCHEMA_H_
