// SPDX-License-Identifier: Apache-2.0
//
// The settings of a configuration file, as the one parser of settings reads them.
#ifndef LOAD_BALANCER_PROXY_CONFIG_SETTINGS_TEXT_H_
#define LOAD_BALANCER_PROXY_CONFIG_SETTINGS_TEXT_H_

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace load_balancer::proxy {

// The path=value lines of the simulator's wire, so that one parser of settings serves both.
std::string SettingsText(const nlohmann::json& settings);

// The names in the list `name`, by index, as they are written; none if there is no such list.
std::vector<std::string> NamesIn(const nlohmann::json& settings, const char* name);

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_CONFIG_SETTINGS_TEXT_H_
