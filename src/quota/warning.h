// SPDX-License-Identifier: Apache-2.0
//
/// @file
/// The action that both accounts and allocators return.
#ifndef LOAD_BALANCER_QUOTA_WARNING_H_
#define LOAD_BALANCER_QUOTA_WARNING_H_

#include "base/error/failure.h"

namespace load_balancer::quota {

/// Action: log the failure at the level warn.
struct LogWarning {
  Failure failure;
};

}  // namespace load_balancer::quota

#endif  // LOAD_BALANCER_QUOTA_WARNING_H_
