// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// This member's share of the fleet's limit of requests in flight at one server.
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
  /// `component` is the name in log lines. `listener`, which outlives this, is informed of each new share.
  LimitShare(boost::asio::io_context& io, const FleetSection& section, std::string component,
             FleetListener& listener);

  /// `membership` outlives this or the call of Stop.
  void Join(const Membership* membership) { membership_ = membership; }
  /// The other members may not know of this one: the share is 1 until they must have heard of it.
  void Settle();
  /// The share is 1 until Settle is called.
  void Unsettle();
  /// The set of members has changed.
  void Update();
  void Stop();

  int limit() const { return section_.server_limit; }
  /// As the listener was last informed; below 0: never.
  int share() const { return share_; }

 private:
  int ComputeShare() const;
  std::size_t CountHolders() const;

  const FleetSection section_;
  const std::string component_;
  FleetListener& listener_;
  boost::asio::steady_timer settle_timer_;
  const Membership* membership_ = nullptr;
  bool is_settled_ = false;
  int share_ = -1;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_NODE_LIMIT_SHARE_H_
