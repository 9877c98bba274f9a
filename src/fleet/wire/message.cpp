// SPDX-License-Identifier: Apache-2.0
#include "fleet/wire/message.h"

#include <array>

namespace load_balancer::fleet {
namespace {

constexpr std::array<std::string_view, kStates> kStateNames{"alive", "suspect", "dead", "left"};
constexpr std::array<std::string_view, kDrops> kDropNames{"malformed", "oversized", "foreign", "version",
                                                          "channel"};

}  // namespace

std::string_view Name(MemberState state) { return kStateNames.at(static_cast<std::size_t>(state)); }
std::string_view Name(Drop drop) { return kDropNames.at(static_cast<std::size_t>(drop)); }

std::string Text(const Udp::endpoint& address) {
  return address.address().to_string() + ":" + std::to_string(address.port());
}

}  // namespace load_balancer::fleet
