// SPDX-License-Identifier: Apache-2.0
//
// The settings of the overflow between sites, and the directory of the gateways that take part in it.
#ifndef LOAD_BALANCER_OVERFLOW_OPTIONS_H_
#define LOAD_BALANCER_OVERFLOW_OPTIONS_H_

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <chrono>
#include <cstddef>
#include <map>
#include <string>

namespace load_balancer::overflow {

using Milliseconds = std::chrono::milliseconds;

// Options holds the settings of the section `spill`. docs/spill.md lists its keys and their ranges.
struct Options {
  // The fraction of a site's spare capacity that all other sites together may use.
  double offered_fraction = 0.5;
  Milliseconds estimate_interval{500};  // time between two estimates of a site
  Milliseconds staleness{3000};         // age from which an estimate counts as zero
  Milliseconds propagation_time{20};    // one-way delay from a gateway to a gateway of another site
  // The minimum priority weight per ms of hinted work. Requests below it are not forwarded.
  double min_weight_per_work = 0;
  Milliseconds slack{200};           // depth of each token bucket, as the time that its rate takes to fill it
  Milliseconds key_ttl{4000};        // how long a key stays assigned to a gateway
  Milliseconds max_clock_skew{500};  // maximum difference between the wall clocks of two machines

  // Returns the maximum age at which an estimate still shows that its site is not over capacity.
  Milliseconds spare_report_max_age() const { return std::min(staleness, 3 * estimate_interval); }
  // Returns how long a site must have been over capacity before its gateways forward requests. By then, no
  // other gateway still uses an estimate by which the site has spare capacity. See Estimate::over.
  Milliseconds over_settling_time() const { return spare_report_max_age() + max_clock_skew; }
  // Returns how long a site must have had spare capacity before other gateways assume that it forwards
  // nothing. By then, none of its gateways still uses an estimate by which the site is over capacity.
  Milliseconds spare_settling_time() const { return staleness + max_clock_skew; }
};

// Gateway holds the addresses of one gateway.
struct Gateway {
  boost::asio::ip::udp::endpoint pool;     // its address as a member of the federation pool
  boost::asio::ip::tcp::endpoint clients;  // where it accepts requests, including forwarded ones
};

// Directory maps each site to its gateways by name. All gateways are configured with the same directory.
using Directory = std::map<std::string, std::map<std::string, Gateway>>;

}  // namespace load_balancer::overflow

#endif  // LOAD_BALANCER_OVERFLOW_OPTIONS_H_
