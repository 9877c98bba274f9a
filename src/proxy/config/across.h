// SPDX-License-Identifier: Apache-2.0
//
// What one section of a configuration alone cannot tell.
#ifndef BRACKENSPOKE_PROXY_CONFIG_ACROSS_H_
#define BRACKENSPOKE_PROXY_CONFIG_ACROSS_H_

#include "config.h"

namespace brackenspoke::proxy {

// Throws BadConfig with all faults of sections that do not go together.
void CheckAcross(const Config& config);

}  // namespace brackenspoke::proxy

#endif  // BRACKENSPOKE_PROXY_CONFIG_ACROSS_H_
