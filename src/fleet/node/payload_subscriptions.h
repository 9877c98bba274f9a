// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The handlers, by channel, of payloads that components above the fleet layer exchange.
#ifndef LOAD_BALANCER_FLEET_NODE_PAYLOAD_SUBSCRIPTIONS_H_
#define LOAD_BALANCER_FLEET_NODE_PAYLOAD_SUBSCRIPTIONS_H_

#include <functional>
#include <map>
#include <string>
#include <utility>

#include "fleet/wire/message.h"

namespace load_balancer::fleet {

/// Handles a received payload, which has not been validated. `sender` is the sending member's claim about its
/// own state.
using PayloadHandler = std::function<void(const Update& sender, const nlohmann::json& payload)>;

/// Maps channels to payload handlers.
class PayloadSubscriptions {
 public:
  /// Sets the handler of a channel and replaces the previous one.
  void Subscribe(std::string channel, PayloadHandler handler) {
    handlers_[std::move(channel)] = std::move(handler);
  }

  /// Passes the payload to the handler of its channel. Returns false if the channel has no handler.
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
