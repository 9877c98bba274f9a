// SPDX-License-Identifier: Apache-2.0
#include "base/config/endpoint.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace load_balancer {

using Udp = boost::asio::ip::udp;

std::optional<Udp::endpoint> ParseUdpEndpoint(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  boost::system::error_code bad;
  const auto address = boost::asio::ip::make_address(text.substr(0, colon), bad);
  unsigned port = 0;
  const char* end = text.data() + text.size();
  const auto [at, error] = std::from_chars(text.data() + colon + 1, end, port);
  if (bad || error != std::errc() || at != end || port > 65535 || colon + 1 == text.size())
    return std::nullopt;
  return Udp::endpoint(address, static_cast<unsigned short>(port));
}

}  // namespace load_balancer
