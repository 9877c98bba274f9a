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

/// Computes this member's share of the limit from the number of members and notifies the listener of changes.
class LimitShare {
 public:
  /// `component` is the component name in log lines. `listener` is notified of each new share and must
  /// outlive this object.
  LimitShare(boost::asio::io_context& io, const FleetSection& section, std::string component,
             FleetListener& listener);

  /// Sets the membership whose members are counted. `membership` must remain valid until Stop is called or
  /// this object is destroyed.
  void Join(const Membership* membership) { membership_ = membership; }
  /// Sets the share to 1 until enough time has passed for the other members to learn of this one. Call this
  /// whenever they may not count this member yet.
  void Settle();
  /// Sets the share to 1 until Settle is called.
  void Unsettle();
  /// Recomputes the share after a change in the set of members.
  void Update();
  /// Stops the timer and stops using the membership.
  void Stop();

  int limit() const { return section_.server_limit; }
  /// Returns the share of which the listener was last notified; negative if it has not been notified yet.
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
