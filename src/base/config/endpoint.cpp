// SPDX-License-Identifier: Apache-2.0
#include "base/config/endpoint.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <string_view>
#include <system_error>

namespace load_balancer {

using Udp = boost::asio::ip::udp;

namespace {

constexpr unsigned kMaxPort = 65535;

std::optional<unsigned short> ParsePort(std::string_view text) {
  unsigned port = 0;
  const char* const end = text.data() + text.size();
  const auto [parsed_to, error] = std::from_chars(text.data(), end, port);
  if (error != std::errc() || parsed_to != end || port > kMaxPort) return std::nullopt;
  return static_cast<unsigned short>(port);
}

}  // namespace

std::optional<Udp::endpoint> ParseUdpEndpoint(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  boost::system::error_code failure;
  const auto address = boost::asio::ip::make_address(text.substr(0, colon), failure);
  const auto port = ParsePort(std::string_view(text).substr(colon + 1));
  if (failure || !port) return std::nullopt;
  return Udp::endpoint(address, *port);
}

}  // namespace load_balancer
