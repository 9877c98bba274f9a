// SPDX-License-Identifier: Apache-2.0
//
// Configurations of processes of our own deployments.
#ifndef LOAD_BALANCER_TESTS_SITES_SITE_CONFIG_H_
#define LOAD_BALANCER_TESTS_SITES_SITE_CONFIG_H_

#include <string>
#include <vector>

#include "loopback.h"
#include "site_file.h"

namespace load_balancer::testing {

inline const Tcp::endpoint kNoDiscovery(asio::ip::make_address("127.0.0.1"), 9);

inline nlohmann::json ConfigWith(const nlohmann::json& settings,
                                 const Tcp::endpoint& discovery = kNoDiscovery,
                                 std::vector<nlohmann::json> known = {}) {
  nlohmann::json config = ConfigJson(discovery, std::move(known));
  config["settings"] = settings;
  return config;
}

inline nlohmann::json ConfigOfSite(const std::string& site) {
  return ConfigWith(SettingsOf(SiteNamed(site)));
}

// The settings of `to` as far as a process of `from` may take them without a new start.
inline nlohmann::json SettingsFor(const std::string& from, const std::string& to) {
  nlohmann::json settings = SettingsOf(SiteNamed(to));
  const nlohmann::json fixed = SettingsOf(SiteNamed(from));
  for (const char* key : {"zones", "kinds", "registryMode"}) settings[key] = fixed.at(key);
  return settings;
}

// A request of the class for the tenant, in the method that a class safe to repeat has, or the other one.
inline std::string RequestOf(const std::string& name, const std::string& tenant, bool safe) {
  return (safe ? "GET /" : "POST /") + name +
         " HTTP/1.1\r\nHost: service.internal\r\nReq-Id: " + FreshRequestId() + "\r\nReq-Kind: " + name +
         "\r\nReq-Owner: " + tenant + (safe ? "\r\n\r\n" : "\r\nContent-Length: 4\r\n\r\ntext");
}

}  // namespace load_balancer::testing

#endif  // LOAD_BALANCER_TESTS_SITES_SITE_CONFIG_H_
