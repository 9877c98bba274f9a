// SPDX-License-Identifier: Apache-2.0
//
// Every kind of failure that the program knows, for docs/errors.md and its check.
#ifndef LOAD_BALANCER_PROXY_FAILURE_KINDS_H_
#define LOAD_BALANCER_PROXY_FAILURE_KINDS_H_

#include <vector>

#include "base/error/failure.h"

namespace load_balancer::proxy {

std::vector<const FailureKind*> AllFailureKinds();

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_FAILURE_KINDS_H_
