// SPDX-License-Identifier: Apache-2.0
//
// Whether a request that comes in is a spilled one. The mark `Spilled-From: <site>/<gateway>` counts only
// from an address of that gateway; from anybody else it is to be removed and the request handled as a
// client's.
#ifndef LOAD_BALANCER_OVERFLOW_INCOMING_H_
#define LOAD_BALANCER_OVERFLOW_INCOMING_H_

#include <boost/asio/ip/address.hpp>
#include <string>
#include <string_view>

#include "base/error/failure.h"
#include "overflow/failures.h"
#include "overflow/options.h"
#include "overflow/remote_gateways.h"

namespace load_balancer::overflow {

inline constexpr std::string_view kMarkHeader = "Spilled-From";
inline constexpr std::string_view kEstimateHeader = "Spill-Estimate";  // of answers: ToJson's text

inline std::string MarkOf(const Neighbour& self) { return self.site + "/" + self.gateway; }

// `peer` is the other end of the connection, whose port says nothing. Fails with kBadMark if the mark is no
// site/gateway, and with kForeignMark if that gateway is not configured, is of this site, or has neither of
// its addresses there.
inline Result<Neighbour> JudgeMark(const Directory& sites, std::string_view own_site, std::string_view mark,
                                   const boost::asio::ip::address& peer) {
  const auto slash = mark.find('/');
  if (slash == std::string_view::npos || slash == 0 || slash + 1 == mark.size() ||
      mark.find('/', slash + 1) != std::string_view::npos)
    return tl::unexpected(Failure(kBadMark, peer.to_string()));
  Neighbour from{std::string(mark.substr(0, slash)), std::string(mark.substr(slash + 1))};
  const auto site = sites.find(from.site);
  const auto foreign = [&] {
    return tl::unexpected(Failure(kForeignMark, std::string(mark), "from " + peer.to_string()));
  };
  if (site == sites.end() || from.site == own_site) return foreign();
  const auto gateway = site->second.find(from.gateway);
  if (gateway == site->second.end()) return foreign();
  if (peer != gateway->second.clients.address() && peer != gateway->second.pool.address()) return foreign();
  return from;
}

}  // namespace load_balancer::overflow

#endif  // LOAD_BALANCER_OVERFLOW_INCOMING_H_
