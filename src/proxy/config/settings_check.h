// SPDX-License-Identifier: Apache-2.0
//
// What the parser of settings, which reads text, cannot tell: the types of values, and names.
#ifndef LOAD_BALANCER_PROXY_CONFIG_SETTINGS_CHECK_H_
#define LOAD_BALANCER_PROXY_CONFIG_SETTINGS_CHECK_H_

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace load_balancer::proxy {

// Adds one line for each fault, "setting <what is wrong>: <key>"; of a great many only the first. A null
// counts as absent.
void CheckSettings(const nlohmann::json& settings, std::vector<std::string>* faults);

// What a fault begins with that ends with a key which a file should have.
inline constexpr std::string_view kMissing = "absent or of another kind: ";

// Adds the fault unless its key, one that holds this key, or a part of it has been named before.
void AddUnlessNamed(const std::string& fault, std::vector<std::string>* faults);

}  // namespace load_balancer::proxy

#endif  // LOAD_BALANCER_PROXY_CONFIG_SETTINGS_CHECK_H_
