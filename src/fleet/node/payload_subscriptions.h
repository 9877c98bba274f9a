// SPDX-License-Identifier: Apache-2.0
//
// Who takes the payloads that layers above the fleet send to each other.
#ifndef LOAD_BALANCER_FLEET_NODE_PAYLOAD_SUBSCRIPTIONS_H_
#define LOAD_BALANCER_FLEET_NODE_PAYLOAD_SUBSCRIPTIONS_H_

#include <functional>
#include <map>
#include <string>
#include <utility>

#include "fleet/wire/message.h"

namespace load_balancer::fleet {

// Takes a payload as it came: whoever sent it may have sent anything. `sender` is as it sees itself.
using PayloadHandler = std::function<void(const Update& sender, const nlohmann::json& payload)>;

class PayloadSubscriptions {
 public:
  // Replaces who took the channel before.
  void Subscribe(std::string channel, PayloadHandler take) { takers_[std::move(channel)] = std::move(take); }

  // False if nobody takes this message's channel.
  bool Deliver(const Message& message) const {
    const auto found = takers_.find(message.channel);
    if (found == takers_.end()) return false;
    found->second(message.sender, message.payload);
    return true;
  }

 private:
  std::map<std::string, PayloadHandler> takers_;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_NODE_PAYLOAD_SUBSCRIPTIONS_H_
