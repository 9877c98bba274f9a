// SPDX-License-Identifier: Apache-2.0
/// @file
/// Time-outs of attempts that end before the client's deadline.
#ifndef LOAD_BALANCER_SRC_POLICY_ATTEMPT_TIMEOUT_H_
#define LOAD_BALANCER_SRC_POLICY_ATTEMPT_TIMEOUT_H_

#include "policy/request.h"

namespace load_balancer {

/// Returns the time-out of the request's next attempt, at `server`, or 0 if only the client's deadline limits
/// the attempt.
///
/// A time-out is set only if the server is silent: it has outstanding attempts, and has sent no response for
/// longer than the mean response time of the request's class plus four deviations. Timing out an attempt that
/// is merely late would double its work. No time-out is set if the request permits no retry, if the retry
/// budget has no token, or if a retry would end after the client's deadline.
Duration AttemptTimeout(const Request& request, const Server& server, bool has_retry_token, TimePoint now);

}  // namespace load_balancer

#endif  // LOAD_BALANCER_SRC_POLICY_ATTEMPT_TIMEOUT_H_
