// SPDX-License-Identifier: Apache-2.0
/// @file
/// Time-outs of attempts that are shorter than the client's own.
#ifndef LOAD_BALANCER_SRC_POLICY_ATTEMPT_TIMEOUT_H_
#define LOAD_BALANCER_SRC_POLICY_ATTEMPT_TIMEOUT_H_

#include "policy/request.h"

namespace load_balancer {

/// The time-out of the request's next attempt, at `server`, or 0 for that of the client.
///
/// Only a server that has gone silent gets one: it has owed responses for longer than this class takes by its
/// mean and four deviations. Timing out what is merely late would double its work. There is none either where
/// no retry would be permitted, by the request or for lack of a token of the retry budget, or where it would
/// come too late.
Duration AttemptTimeout(const Request& request, const Server& server, bool has_retry_token, TimePoint now);

}  // namespace load_balancer

#endif  // LOAD_BALANCER_SRC_POLICY_ATTEMPT_TIMEOUT_H_
