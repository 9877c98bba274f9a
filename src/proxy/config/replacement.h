// SPDX-License-Identifier: Apache-2.0
//
// A new file in place of the one in force.
#ifndef LOAD_BALANCER_PROXY_CONFIG_REPLACEMENT_H_
#define LOAD_BALANCER_PROXY_CONFIG_REPLACEMENT_H_

#include <nlohmann/json_fwd.hpp>

#include "config.h"

namespace load_balancer::proxy {

// As Reconfigure, of a file that is a JSON object. Throws BadConfig if `root` lacks what the one in force has
// or changes what needs a new start, and what ReadConfig throws.
Config Replacement(const nlohmann::json& root, const Config& current);

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_CONFIG_REPLACEMENT_H_
