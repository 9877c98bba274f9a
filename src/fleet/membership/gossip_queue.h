// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// SWIM's dissemination: updates that a member piggybacks on the messages it sends, each a bounded number of
/// times.
#ifndef LOAD_BALANCER_FLEET_MEMBERSHIP_GOSSIP_QUEUE_H_
#define LOAD_BALANCER_FLEET_MEMBERSHIP_GOSSIP_QUEUE_H_

#include <functional>
#include <map>
#include <string>

#include "fleet/wire/message.h"

namespace load_balancer::fleet {

class GossipQueue {
 public:
  /// Queues an update in place of an earlier one about the same member.
  void Add(const Update& update) { by_member_[update.name] = {update, 0}; }
  /// Offers updates about other members than `receiver`, the least transmitted first, until `accept` returns
  /// false, and counts those accepted as transmitted. Drops updates transmitted `max_transmissions` times.
  void Transmit(const std::string& receiver, int max_transmissions,
                const std::function<bool(const Update&)>& accept);

 private:
  struct QueuedUpdate {
    Update update;
    int transmissions = 0;
  };

  std::map<std::string, QueuedUpdate> by_member_;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_MEMBERSHIP_GOSSIP_QUEUE_H_
