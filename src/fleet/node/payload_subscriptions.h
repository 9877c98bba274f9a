// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Handlers of the payloads that layers above the fleet exchange, by channel.
#ifndef LOAD_BALANCER_FLEET_NODE_PAYLOAD_SUBSCRIPTIONS_H_
#define LOAD_BALANCER_FLEET_NODE_PAYLOAD_SUBSCRIPTIONS_H_

#include <functional>
#include <map>
#include <string>
#include <utility>

#include "fleet/wire/message.h"

namespace load_balancer::fleet {

/// Takes a payload as it was received: it has not been validated. `sender` is the member as it sees itself.
using PayloadHandler = std::function<void(const Update& sender, const nlohmann::json& payload)>;

class PayloadSubscriptions {
 public:
  /// Replaces the channel's former handler.
  void Subscribe(std::string channel, PayloadHandler handler) {
    handlers_[std::move(channel)] = std::move(handler);
  }

  /// False if the message's channel has no handler.
  bool Deliver(const Message& message) const {
    const auto found = handlers_.find(message.channel);
    if (found == handlers_.end()) return false;
    found->second(message.sender, message.payload);
    return true;
  }

 private:
  std::map<std::string, PayloadHandler> handlers_;  // by channel
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_NODE_PAYLOAD_SUBSCRIPTIONS_H_
