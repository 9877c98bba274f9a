// SPDX-License-Identifier: Apache-2.0
//
// Recognises requests that a gateway of another site has forwarded. The sender marks them with the header
// `Spilled-From: <site>/<gateway>`. The mark is valid only if the request comes from an address of that
// gateway. Otherwise the caller removes the header and handles the request as a client's.
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

inline constexpr std::string_view kMarkHeader = "Spilled-From";        // of forwarded requests
inline constexpr std::string_view kEstimateHeader = "Spill-Estimate";  // of responses; an Estimate as JSON

// Returns the mark of requests that the gateway `self` forwards.
inline std::string FormatMark(const RemoteGateway& self) { return self.site + "/" + self.gateway; }

// Returns the gateway that the mark names. `peer` is the remote address of the connection, whose port is not
// checked. Fails with kBadMark if the mark is not of the form site/gateway. Fails with kUnverifiedMark if the
// gateway is not configured, belongs to this site, or does not have this address.
inline Result<RemoteGateway> VerifyMark(const Directory& sites, std::string_view own_site,
                                        std::string_view mark, const boost::asio::ip::address& peer) {
  const auto slash = mark.find('/');
  if (slash == std::string_view::npos || slash == 0 || slash + 1 == mark.size() ||
      mark.find('/', slash + 1) != std::string_view::npos)
    return tl::unexpected(Failure(kBadMark, peer.to_string()));
  RemoteGateway sender{std::string(mark.substr(0, slash)), std::string(mark.substr(slash + 1))};
  const auto site = sites.find(sender.site);
  const auto unverified = [&] {
    return tl::unexpected(Failure(kUnverifiedMark, std::string(mark), "from " + peer.to_string()));
  };
  if (site == sites.end() || sender.site == own_site) return unverified();
  const auto gateway = site->second.find(sender.gateway);
  if (gateway == site->second.end()) return unverified();
  if (peer != gateway->second.clients.address() && peer != gateway->second.pool.address())
    return unverified();
  return sender;
}

}  // namespace load_balancer::overflow

#endif  // LOAD_BALANCER_OVERFLOW_INCOMING_H_
