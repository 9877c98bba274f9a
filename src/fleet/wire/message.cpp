// SPDX-License-Identifier: Apache-2.0
#include "fleet/wire/message.h"

#include <array>

namespace load_balancer::fleet {
namespace {

constexpr std::array<std::string_view, kMemberStates> kMemberStateNames{"alive", "suspect", "dead", "left"};
constexpr std::array<std::string_view, Message::kKinds> kKindNames{"ping", "ping_req", "ack",   "nack",
                                                                   "sync", "state",    "lease", "payload"};
constexpr std::array<std::string_view, kDropReasons> kDropReasonNames{"malformed", "oversized", "foreign",
                                                                      "version", "channel"};

}  // namespace

std::string_view Name(MemberState state) { return kMemberStateNames.at(static_cast<std::size_t>(state)); }
std::string_view Name(Message::Kind kind) { return kKindNames.at(static_cast<std::size_t>(kind)); }
std::string_view Name(DropReason reason) { return kDropReasonNames.at(static_cast<std::size_t>(reason)); }

std::string FormatEndpoint(const Udp::endpoint& address) {
  return address.address().to_string() + ":" + std::to_string(address.port());
}

}  // namespace load_balancer::fleet
