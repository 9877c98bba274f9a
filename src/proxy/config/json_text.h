// SPDX-License-Identifier: Apache-2.0
//
// The text of a configuration file as a JSON object.
#ifndef LOAD_BALANCER_PROXY_CONFIG_JSON_TEXT_H_
#define LOAD_BALANCER_PROXY_CONFIG_JSON_TEXT_H_

#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace load_balancer::proxy {

// Throws BadConfig, which says where the text stops being one.
nlohmann::json ParseObject(std::string_view text);

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_CONFIG_JSON_TEXT_H_
