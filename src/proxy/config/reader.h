// SPDX-License-Identifier: Apache-2.0
//
// A configuration file's keys and the environment, section by section.
#ifndef BRACKENSPOKE_PROXY_CONFIG_READER_H_
#define BRACKENSPOKE_PROXY_CONFIG_READER_H_

#include <nlohmann/json_fwd.hpp>

#include "config.h"

namespace brackenspoke::proxy {

// What `root` says, where the environment does not go before it; each section right by itself (CheckAcross
// looks at them together). Throws BadConfig, and json::exception or adapter::BadSettings on values that are
// out of form.
Config ReadConfig(const nlohmann::json& root, const Environment& env);

}  // namespace brackenspoke::proxy

#endif  // BRACKENSPOKE_PROXY_CONFIG_READER_H_
