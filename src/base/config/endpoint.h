// SPDX-License-Identifier: Apache-2.0
//
// Addresses as the configuration and messages write them.
#ifndef LOAD_BALANCER_BASE_CONFIG_ENDPOINT_H_
#define LOAD_BALANCER_BASE_CONFIG_ENDPOINT_H_

#include <boost/asio/ip/udp.hpp>
#include <optional>
#include <string>

namespace load_balancer {

// "a.b.c.d:port", or "v6:port", which is what boost::asio prints with a colon between; nothing if it is
// neither.
std::optional<boost::asio::ip::udp::endpoint> ParseUdpEndpoint(const std::string& text);

}  // namespace load_balancer

#endif  // LOAD_BALANCER_BASE_CONFIG_ENDPOINT_H_
