// SPDX-License-Identifier: Apache-2.0
//
// Every kind of failure that the program knows, for docs/errors.md and its check.
#ifndef BRACKENSPOKE_PROXY_FAILURE_KINDS_H_
#define BRACKENSPOKE_PROXY_FAILURE_KINDS_H_

#include <vector>

#include "base/error/failure.h"

namespace brackenspoke::proxy {

std::vector<const FailureKind*> AllFailureKinds();

}  // namespace brackenspoke::proxy

#endif  // BRACKENSPOKE_PROXY_FAILURE_KINDS_H_
