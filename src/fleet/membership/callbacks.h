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

/// Called from within the functions of Membership; must not call back into it.
class MembershipCallbacks {
 public:
  virtual ~MembershipCallbacks() = default;
  virtual void Send(const Udp::endpoint& to, const Message& message) = 0;
  /// A member's state or incarnation has changed; this member's, too. `before` is nothing for a member that
  /// was unknown; `reason` is one word or the name of the member that reported it.
  virtual void OnMemberChanged(const Member& member, std::optional<MemberState> before,
                               std::string_view reason) = 0;
  /// This process did not run for so long.
  virtual void OnStalled(Span stalled_for) = 0;
  /// A process with this one's name and a newer incarnation has joined from `address`. This member is silent
  /// from now on.
  virtual void OnDisplaced(const Udp::endpoint& address) = 0;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_MEMBERSHIP_CALLBACKS_H_
