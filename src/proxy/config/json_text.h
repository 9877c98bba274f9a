// SPDX-License-Identifier: Apache-2.0
//
// The text of a configuration file as a JSON object.
#ifndef BRACKENSPOKE_PROXY_CONFIG_JSON_TEXT_H_
#define BRACKENSPOKE_PROXY_CONFIG_JSON_TEXT_H_

#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace brackenspoke::proxy {

// Throws BadConfig, which says where the text stops being one.
nlohmann::json ParseObject(std::string_view text);

}  // namespace brackenspoke::proxy

#endif  // BRACKENSPOKE_PROXY_CONFIG_JSON_TEXT_H_
