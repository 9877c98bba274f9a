// SPDX-License-Identifier: Apache-2.0
//
// A configuration file as the program reads it.
#ifndef LOAD_BALANCER_TESTS_COMPATIBILITY_CONFIGURATION_FIELDS_H_
#define LOAD_BALANCER_TESTS_COMPATIBILITY_CONFIGURATION_FIELDS_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace load_balancer::testing {

/// Every field of the configuration that `text` is read as, by name. Throws what the reader throws.
nlohmann::json ConfigurationFields(const std::string& text);

/// The faults that `--check-config` finds in the file at `path`.
std::vector<std::string> ConfigurationFaults(const std::string& path);

}  // namespace load_balancer::testing

#endif  // LOAD_BALANCER_TESTS_COMPATIBILITY_CONFIGURATION_FIELDS_H_
