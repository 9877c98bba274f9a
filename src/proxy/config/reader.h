// SPDX-License-Identifier: Apache-2.0
//
// A configuration file's keys and the environment, section by section.
#ifndef LOAD_BALANCER_PROXY_CONFIG_READER_H_
#define LOAD_BALANCER_PROXY_CONFIG_READER_H_

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "config.h"

namespace load_balancer::proxy {

// What `root` says, where the environment does not go before it; of use only if it adds no fault. Each
// section is looked at by itself (CheckAcross looks at them together).
Config ReadConfig(const nlohmann::json& root, const Environment& env, std::vector<std::string>* faults);

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_CONFIG_READER_H_
