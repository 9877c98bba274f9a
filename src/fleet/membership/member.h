// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// A member of a fleet as another member sees it.
#ifndef LOAD_BALANCER_FLEET_MEMBERSHIP_MEMBER_H_
#define LOAD_BALANCER_FLEET_MEMBERSHIP_MEMBER_H_

#include "base/time.h"
#include "fleet/wire/message.h"

namespace load_balancer::fleet {

struct Member {
  Update last;   ///< The update that holds, by SWIM's precedence (Overrides).
  Time since{};  ///< When its state or incarnation last changed.
};

/// Whether members in this state are probed and counted. A suspect may still refute.
inline bool IsPresent(MemberState state) {
  return state == MemberState::kAlive || state == MemberState::kSuspect;
}

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_MEMBERSHIP_MEMBER_H_
