// SPDX-License-Identifier: Apache-2.0
//
// What spilling is set to, and who may take part in it.
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

// Keys and ranges of the section are in docs/spill.md.
struct Options {
  double most_part = 0.5;               // of a neighbour's spare that all spillers together may take
  Milliseconds estimate_interval{500};  // between two estimates of a site
  Milliseconds staleness{3000};         // an estimate as old as this counts as zero
  Milliseconds way{20};                 // from a gateway to one of another site
  double least_worth_per_work = 0;  // of a request, worth over ms of hinted work; under it none is spilled
  Milliseconds slack{200};          // depth of a share: so long's worth of its rate
  Milliseconds key_ttl{4000};       // how long a key stays with its neighbour
  Milliseconds most_skew{500};      // between two machines' wall clocks

  // An estimate that says that a site is not over capacity counts for no longer than this.
  Milliseconds quiet_age() const { return std::min(staleness, 3 * estimate_interval); }
  // How long a site must have been over capacity before its gateways spill, and how long it must not have
  // been before others act on it: any estimate that says otherwise counts no longer by then. See
  // Estimate::over.
  Milliseconds over_settled() const { return quiet_age() + most_skew; }
  Milliseconds quiet_settled() const { return staleness + most_skew; }
};

struct Gateway {
  boost::asio::ip::udp::endpoint pool;     // as a member of the federation pool
  boost::asio::ip::tcp::endpoint clients;  // where it takes requests, spilled ones too
};

// Site, then gateway, as configured at all gateways alike.
using Directory = std::map<std::string, std::map<std::string, Gateway>>;

}  // namespace load_balancer::overflow

#endif  // LOAD_BALANCER_OVERFLOW_OPTIONS_H_
