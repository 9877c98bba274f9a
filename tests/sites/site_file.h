// SPDX-License-Identifier: Apache-2.0
//
// The deployments under deploy/sites, and the settings that a process of one of them gets.
#ifndef LOAD_BALANCER_TESTS_SITES_SITE_FILE_H_
#define LOAD_BALANCER_TESTS_SITES_SITE_FILE_H_

#include <filesystem>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace load_balancer::testing {

// As much of TOML as the deployments use: tables, lists of tables, and values on one line each, which are
// JSON.
nlohmann::json ReadToml(const std::filesystem::path& path);

// deploy/sites/NAME/NAME.toml.
nlohmann::json SiteNamed(const std::string& name);
// The names of all deployments there.
std::vector<std::string> SiteNames();

// The settings of a process in the site's first zone, as its configuration file holds them; of each range in
// the file the middle.
nlohmann::json SettingsOf(const nlohmann::json& site);

// What the site calls its classes, tenants, zones, kinds of servers and tiers.
std::vector<std::string> NamesOf(const nlohmann::json& site);

// The same settings with every name another one, which none of the sites has.
nlohmann::json Renamed(nlohmann::json settings);

}  // namespace load_balancer::testing

#endif  // LOAD_BALANCER_TESTS_SITES_SITE_FILE_H_
