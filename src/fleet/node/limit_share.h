// SPDX-License-Identifier: Apache-2.0
//
// This member's share of the fleet's limit of requests in flight at one server.
#ifndef LOAD_BALANCER_FLEET_NODE_LIMIT_SHARE_H_
#define LOAD_BALANCER_FLEET_NODE_LIMIT_SHARE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <string>

#include "fleet/membership/membership.h"
#include "fleet/node/fleet_listener.h"
#include "fleet/section.h"

namespace load_balancer::fleet {

class LimitShare {
 public:
  // `component` speaks in the log; `facts`, which outlives this, is told of each new share.
  LimitShare(boost::asio::io_context& io, const FleetSection& section, std::string component,
             FleetListener& facts);

  // `membership` outlives this or the call of Stop.
  void Join(const Membership* membership) { membership_ = membership; }
  // The others may not know of this process: its share is 1 until news of it have gone round.
  void Settle();
  // Its share is 1 until Settle is called.
  void Unsettle();
  // Members have come or gone.
  void Update();
  void Stop();

  int limit() const { return section_.server_limit; }
  int share() const { return share_; }  // as last told; below 0: never

 private:
  int Share() const;

  const FleetSection section_;
  const std::string component_;
  FleetListener& facts_;
  boost::asio::steady_timer settle_;
  const Membership* membership_ = nullptr;
  bool settled_ = false;  // every member may be taken to know of this one
  int share_ = -1;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_NODE_LIMIT_SHARE_H_
