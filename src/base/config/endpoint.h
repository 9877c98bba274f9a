// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Endpoints in the form in which the configuration and messages write them.
#ifndef LOAD_BALANCER_BASE_CONFIG_ENDPOINT_H_
#define LOAD_BALANCER_BASE_CONFIG_ENDPOINT_H_

#include <boost/asio/ip/udp.hpp>
#include <optional>
#include <string>

namespace load_balancer {

/// Parses "a.b.c.d:port", or "v6:port" without brackets around the address. Nothing if the text is neither.
std::optional<boost::asio::ip::udp::endpoint> ParseUdpEndpoint(const std::string& text);

}  // namespace load_balancer

#endif  // LOAD_BALANCER_BASE_CONFIG_ENDPOINT_H_
