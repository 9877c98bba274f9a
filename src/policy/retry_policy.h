// SPDX-License-Identifier: Apache-2.0
/// @file
/// Decides whether a request may be sent, retried or rejected, given which of its attempts may have run.
#ifndef LOAD_BALANCER_SRC_POLICY_RETRY_POLICY_H_
#define LOAD_BALANCER_SRC_POLICY_RETRY_POLICY_H_

#include "policy/request.h"
#include "policy/server_list.h"
#include "policy/statistics.h"

namespace load_balancer {

/// Permission states what may be done with a request at present.
struct Permission {
  bool may_dispatch = false;
  bool may_reject = false;  ///< false if the request may have run, so that it can only be failed
  /// The server where the request may first have run. Only servers that share idempotency keys with it may
  /// get a retry. Null if any server may get a retry.
  const Server* first_run_server = nullptr;
  /// The last byte of a retry must be written before this time, when servers begin to forget the idempotency
  /// key. kNever if the request may run at any time.
  TimePoint write_before = kNever;
};

/// Returns what may be done with the request at `now`. No other code makes this decision.
Permission PermissionFor(const Request& request, TimePoint now, const ServerList& servers);

/// Returns the time within which the next attempt of the request must be written whole, or 0 if there is no
/// limit. If the request has further attempts, some of the time is left for them, since the connection of the
/// next one may come up late.
Duration WriteTimeout(const Request& request, const Permission& permission, TimePoint now);

}  // namespace load_balancer

#endif  // LOAD_BALANCER_SRC_POLICY_RETRY_POLICY_H_
