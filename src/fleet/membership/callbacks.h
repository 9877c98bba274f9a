// SPDX-License-Identifier: Apache-2.0
//
// A member as another one sees it, and what goes out of membership.
#ifndef LOAD_BALANCER_FLEET_MEMBERSHIP_CALLBACKS_H_
#define LOAD_BALANCER_FLEET_MEMBERSHIP_CALLBACKS_H_

#include <optional>
#include <string_view>

#include "base/time.h"
#include "fleet/wire/message.h"

namespace load_balancer::fleet {

struct Member {
  Update last;   // the claim that holds
  Time since{};  // of its state
};

inline bool Present(MemberState state) {
  return state == MemberState::kAlive || state == MemberState::kSuspect;
}

// Called from within the calls of Membership, and must not call back.
class MembershipOutlet {
 public:
  virtual ~MembershipOutlet() = default;
  virtual void Send(const Udp::endpoint& to, const Message& message) = 0;
  // A member's state is new (this member's included); `before` is nothing for one that was not known, and
  // `why` is one word or a name.
  virtual void Changed(const Member& member, std::optional<MemberState> before, std::string_view why) = 0;
  // This process stood still for so long.
  virtual void Stalled(Span late) = 0;
  // Another process has this one's name at a newer incarnation: this one is silent from now on.
  virtual void Displaced(const Udp::endpoint& by) = 0;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_MEMBERSHIP_CALLBACKS_H_
