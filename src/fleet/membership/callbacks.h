// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The interface through which membership sends messages and reports changes.
#ifndef LOAD_BALANCER_FLEET_MEMBERSHIP_CALLBACKS_H_
#define LOAD_BALANCER_FLEET_MEMBERSHIP_CALLBACKS_H_

#include <optional>
#include <string_view>

#include "base/time.h"
#include "fleet/membership/member.h"
#include "fleet/wire/message.h"

namespace load_balancer::fleet {

/// Called by functions of Membership. Implementations must not call back into Membership.
class MembershipCallbacks {
 public:
  virtual ~MembershipCallbacks() = default;
  /// Sends a message to the address `to`.
  virtual void Send(const Udp::endpoint& to, const Message& message) = 0;
  /// Reports that the state or incarnation of a member changed; the member may be this one. `before` is empty
  /// if the member was unknown. `reason` is one word or the name of the member that reported the change.
  virtual void OnMemberChanged(const Member& member, std::optional<MemberState> before,
                               std::string_view reason) = 0;
  /// Reports that this process did not run for `stalled_for`.
  virtual void OnStalled(Span stalled_for) = 0;
  /// Reports that a process with the same name and a newer incarnation joined from `address`. This member
  /// sends no messages from now on.
  virtual void OnDisplaced(const Udp::endpoint& address) = 0;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_MEMBERSHIP_CALLBACKS_H_
