// SPDX-License-Identifier: Apache-2.0
/// @file
/// Whether a request may be sent, sent again or rejected, by what its attempts may have done.
#ifndef LOAD_BALANCER_SRC_POLICY_RETRY_POLICY_H_
#define LOAD_BALANCER_SRC_POLICY_RETRY_POLICY_H_

#include "policy/request.h"
#include "policy/server_list.h"

namespace load_balancer {

/// What may be done with a request now.
struct Permission {
  bool may_dispatch = false;
  bool may_reject = false;         ///< otherwise it can only be failed: it may have run
  const Server* anchor = nullptr;  ///< only servers that discard this one's repeats may get it; null: all may
};

/// The only place that decides it.
Permission PermissionFor(const Request& request, TimePoint now, const ServerList& servers);

}  // namespace load_balancer

#endif  // LOAD_BALANCER_SRC_POLICY_RETRY_POLICY_H_
