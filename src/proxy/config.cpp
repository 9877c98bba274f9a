// SPDX-License-Identifier: Apache-2.0
#include "config.h"

#include <sys/resource.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "config/across.h"
#include "config/file.h"
#include "config/json_text.h"
#include "config/reader.h"
#include "config/replacement.h"

namespace load_balancer::proxy {
namespace {

using nlohmann::json;

std::string Joined(const std::vector<std::string>& faults) {
  std::string all;
  for (const std::string& fault : faults) all += (all.empty() ? "" : "; ") + fault;
  return all;
}

// Names of a file's own may hold what a line cannot.
void KeepToOneLineEach(std::vector<std::string>* faults) {
  for (std::string& fault : *faults)
    std::replace_if(
        fault.begin(), fault.end(), [](unsigned char c) { return c < ' ' || c == 0x7f; }, ' ');
}

std::string ReadFile(const Environment& env) {
  const char* path = env("ROUTER_CONFIG");
  if (!path || !*path) throw BadConfig("ROUTER_CONFIG is not set");
  return ReadConfigFile(path);
}

// Where the process keeps what it has to: its own matter, which a new file does not change.
void CheckStateFolder(const Config& config, std::vector<std::string>* faults) {
  if (config.state.on && config.state_path.empty())
    faults->push_back("state.dir is missing, and $TMPDIR is not set");
}

}  // namespace

BadConfig::BadConfig(std::vector<std::string> faults)
    : std::runtime_error(Joined(faults)), faults_(std::move(faults)) {
  KeepToOneLineEach(&faults_);
}

int IndexOf(const std::vector<std::string>& names, std::string_view name) {
  const auto found = std::find(names.begin(), names.end(), name);
  return found == names.end() ? -1 : static_cast<int>(found - names.begin());
}

Config ParseConfig(std::string_view text, const Environment& env) {
  std::vector<std::string> faults;
  Config config = ReadConfig(ParseObject(text), env, &faults);
  CheckStateFolder(config, &faults);
  if (!faults.empty()) throw BadConfig(std::move(faults));
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
  return Replacement(ParseObject(text), current);
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
  KeepToOneLineEach(&unknown);
  return unknown;
}

std::vector<std::string> CheckConfig(const Environment& env) {
  std::vector<std::string> faults;
  try {
    const std::string text = ReadFile(env);
    faults = UnknownTopKeys(ParseObject(text));
    ParseConfig(text, env);
  } catch (const BadConfig& error) {
    faults.insert(faults.end(), error.faults().begin(), error.faults().end());
  }
  return faults;
}

}  // namespace load_balancer::proxy
