// SPDX-License-Identifier: Apache-2.0
#include "config.h"

#include <sys/resource.h>

#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "config/across.h"
#include "config/reader.h"
#include "config/replacement.h"
#include "settings.h"

namespace brackenspoke::proxy {
namespace {

using nlohmann::json;

std::string Joined(const std::vector<std::string>& faults) {
  std::string all;
  for (const std::string& fault : faults) all += (all.empty() ? "" : "; ") + fault;
  return all;
}

std::string ReadFile(const Environment& env) {
  const char* path = env("ROUTER_CONFIG");
  if (!path || !*path) throw BadConfig("ROUTER_CONFIG is not set");
  std::ifstream file(path, std::ios::binary);
  if (!file) throw BadConfig("cannot read ROUTER_CONFIG: " + std::string(path));
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

// What `read` makes of the configuration; BadConfig if it cannot.
template <typename ReadRoot>
auto Parsed(std::string_view text, ReadRoot read) {
  const json root = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!root.is_object()) throw BadConfig("the configuration is no JSON object");
  try {
    return read(root);
  } catch (const adapter::BadSettings& error) {
    throw BadConfig(error.what());
  } catch (const json::exception& error) {
    throw BadConfig(error.what());
  }
}

}  // namespace

BadConfig::BadConfig(std::vector<std::string> faults)
    : std::runtime_error(Joined(faults)), faults_(std::move(faults)) {}

Config ParseConfig(std::string_view text, const Environment& env) {
  Config config = Parsed(text, [&](const json& root) { return ReadConfig(root, env); });
  CheckAcross(config);
  return config;
}

Config LoadConfig(const Environment& env) {
  Config config = ParseConfig(ReadFile(env), env);
  rlimit allowed{};
  if (::getrlimit(RLIMIT_NOFILE, &allowed) == 0 && allowed.rlim_cur < static_cast<rlim_t>(config.sockets))
    config.sockets = static_cast<int>(allowed.rlim_cur);
  return config;
}

Config Reconfigure(std::string_view text, const Config& current) {
  return Parsed(text, [&](const json& root) { return Replacement(root, current); });
}

Config ReloadConfig(const Environment& env, const Config& current) {
  return Reconfigure(ReadFile(env), current);
}

std::vector<std::string> UnknownTopKeys(const json& root) {
  static const std::set<std::string> kKnown{"name",  "listen",   "discovery", "seed",  "limits",
                                            "known", "settings", "ops",       "fleet", "state",
                                            "sites", "quota",    "spill"};
  std::vector<std::string> unknown;
  for (const auto& [key, value] : root.items())
    if (!kKnown.contains(key)) unknown.push_back(key + " is no known key");
  return unknown;
}

std::vector<std::string> CheckConfig(const Environment& env) {
  std::vector<std::string> faults;
  try {
    const std::string text = ReadFile(env);
    const json root = json::parse(text, nullptr, /*allow_exceptions=*/false);
    if (root.is_object()) {
      faults = UnknownTopKeys(root);
      fleet::ReadFleet(root, &faults);
      state::ReadState(root, &faults);
      fleet::ReadSites(root, &faults);
      quota::ReadQuota(root, &faults);
      spill::ReadSpill(root, &faults);
      if (!faults.empty()) return faults;
    }
    ParseConfig(text, env);
  } catch (const BadConfig& error) {
    faults.insert(faults.end(), error.faults().begin(), error.faults().end());
  }
  return faults;
}

}  // namespace brackenspoke::proxy
