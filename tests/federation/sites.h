// SPDX-License-Identifier: Apache-2.0
//
// A `sites` section for tests: sites a, b and c of so many gateways each, every gateway on a loopback address
// of its own.
#ifndef LOAD_BALANCER_TESTS_FEDERATION_SITES_H_
#define LOAD_BALANCER_TESTS_FEDERATION_SITES_H_

#include <nlohmann/json.hpp>
#include <string>

namespace load_balancer::testing::federation {

inline std::string GatewayName(int site, int gateway) {
  return std::string(1, static_cast<char>('a' + site)) + std::to_string(gateway + 1);
}

// 127.0.SITE.GATEWAY, both from 1 on.
inline std::string HostOf(int site, int gateway) {
  return "127.0." + std::to_string(site + 1) + "." + std::to_string(gateway + 1);
}

inline nlohmann::json SitesJson(int sites, int gateways) {
  nlohmann::json section = {
      {"site", "a"}, {"bind", HostOf(0, 0) + ":7900"}, {"voters", nlohmann::json::array()}};
  for (int s = 0; s < sites; ++s) {
    section["voters"].push_back(HostOf(s, 0) + ":7900");
    for (int g = 0; g < gateways; ++g)
      section["gateways"][std::string(1, static_cast<char>('a' + s))][GatewayName(s, g)] = {
          {"pool", HostOf(s, g) + ":7900"}, {"clients", HostOf(s, g) + ":8080"}};
  }
  return section;
}

}  // namespace load_balancer::testing::federation

#endif  // LOAD_BALANCER_TESTS_FEDERATION_SITES_H_
