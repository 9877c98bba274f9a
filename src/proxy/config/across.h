// SPDX-License-Identifier: Apache-2.0
//
// What one section of a configuration alone cannot tell.
#ifndef LOAD_BALANCER_PROXY_CONFIG_ACROSS_H_
#define LOAD_BALANCER_PROXY_CONFIG_ACROSS_H_

#include "config.h"

namespace load_balancer::proxy {

// Throws BadConfig with all faults of sections that do not go together.
void CheckAcross(const Config& config);

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_CONFIG_ACROSS_H_
