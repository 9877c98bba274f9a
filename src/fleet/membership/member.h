// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// A member of a fleet, as seen by another member.
#ifndef LOAD_BALANCER_FLEET_MEMBERSHIP_MEMBER_H_
#define LOAD_BALANCER_FLEET_MEMBERSHIP_MEMBER_H_

#include "base/time.h"
#include "fleet/wire/message.h"

namespace load_balancer::fleet {

/// The known state of a member.
struct Member {
  Update update;      ///< The update that takes precedence over all others received (see Overrides).
  Time changed_at{};  ///< When the state or incarnation last changed.
};

/// Returns whether members in this state are probed and counted. Suspects are probed and counted, since they
/// may refute the suspicion.
inline bool IsPresent(MemberState state) {
  return state == MemberState::kAlive || state == MemberState::kSuspect;
}

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_MEMBERSHIP_MEMBER_H_
