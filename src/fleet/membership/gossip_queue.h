// SPDX-License-Identifier: Apache-2.0
//
// Claims that a member passes on with whatever it sends, each so many times.
#ifndef LOAD_BALANCER_FLEET_MEMBERSHIP_GOSSIP_QUEUE_H_
#define LOAD_BALANCER_FLEET_MEMBERSHIP_GOSSIP_QUEUE_H_

#include <functional>
#include <map>
#include <string>

#include "fleet/wire/message.h"

namespace load_balancer::fleet {

class News {
 public:
  // In place of what was to be said of the member before.
  void Spread(const Update& update) { by_name_[update.name] = {update, 0}; }
  // Offers what is not about `receiver`, what has been passed on least first, until `take` is false. What has
  // then been passed on `most` times is dropped.
  void PassOn(const std::string& receiver, int most, const std::function<bool(const Update&)>& take);

 private:
  struct Item {
    Update update;
    int transmits = 0;
  };

  std::map<std::string, Item> by_name_;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_MEMBERSHIP_GOSSIP_QUEUE_H_
