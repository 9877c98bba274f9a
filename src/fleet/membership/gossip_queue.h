// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The dissemination component of SWIM: a member piggybacks queued updates on the messages that it sends, and
/// transmits each update a limited number of times.
#ifndef LOAD_BALANCER_FLEET_MEMBERSHIP_GOSSIP_QUEUE_H_
#define LOAD_BALANCER_FLEET_MEMBERSHIP_GOSSIP_QUEUE_H_

#include <functional>
#include <map>
#include <string>

#include "fleet/wire/message.h"

namespace load_balancer::fleet {

/// Queues the newest update about each member.
class GossipQueue {
 public:
  /// Queues an update and replaces an earlier update about the same member.
  void Add(const Update& update) { by_member_[update.name] = {update, 0}; }
  /// Passes updates to `accept` until it returns false, and counts the accepted ones as transmitted. The
  /// least transmitted updates come first; updates about `receiver` are skipped. Afterwards removes the
  /// updates that were transmitted `max_transmissions` times.
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
