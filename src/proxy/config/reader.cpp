// SPDX-License-Identifier: Apache-2.0
#include "config/reader.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/config/section.h"
#include "config/settings_check.h"
#include "config/settings_text.h"
#include "settings.h"

namespace load_balancer::proxy {
namespace {

using nlohmann::json;
using Tcp = boost::asio::ip::tcp;

constexpr std::size_t kMegabyte = 1024 * 1024;
constexpr double kMostMegabytes = 1e6;
constexpr double kLeastCores = 0.001, kMostCores = 1e6;
constexpr double kLeastSockets = 64, kMostSockets = 1048576;  // what Linux lets a process have at the most

// A string under `name`; empty where there is none.
std::string TextOf(const json& root, const char* name, std::vector<std::string>* faults) {
  const auto found = root.find(name);
  if (found == root.end()) return "";
  if (found->is_string()) return found->get<std::string>();
  faults->push_back(std::string(name) + " is no string");
  return "";
}

Tcp::endpoint Address(const char* from_env, const json& root, const char* name,
                      std::vector<std::string>* faults) {
  const bool in_env = from_env && *from_env;
  if (!in_env && !root.contains(name)) {
    faults->push_back(std::string(name) + " is missing");
    return {};
  }
  const std::size_t before = faults->size();
  const std::string text = in_env ? from_env : TextOf(root, name, faults);
  const auto endpoint = ParseEndpoint(text);
  if (!endpoint && faults->size() == before)
    faults->push_back(std::string(name) + " is no host:port: " + json(text).dump());
  return endpoint.value_or(Tcp::endpoint());
}

std::optional<Tcp::endpoint> OptionalAddress(const char* from_env, const json& root, const char* name,
                                             std::vector<std::string>* faults) {
  if ((!from_env || !*from_env) && !root.contains(name)) return std::nullopt;
  return Address(from_env, root, name, faults);
}

// A path for this proxy's files, by the address that all of its processes have.
std::string StatePath(const char* directory, const Tcp::endpoint& listen) {
  if (!directory || !*directory) return "";
  return std::string(directory) + "/kestrelline-" + listen.address().to_string() + '-' +
         std::to_string(listen.port());
}

std::uint64_t SeedOf(const json& root, std::vector<std::string>* faults) {
  const auto found = root.find("seed");
  if (found == root.end()) {
    faults->push_back("seed is missing");
    return 0;
  }
  if (found->is_number_unsigned()) return found->get<std::uint64_t>();
  const std::string text = found->is_string() ? found->get<std::string>() : "";
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (text.empty() || error != std::errc() || end != text.data() + text.size())
    faults->push_back("seed is no hexadecimal number");
  return seed;
}

std::shared_ptr<const json> WithoutKnown(json root) {
  root.erase("known");
  return std::make_shared<const json>(std::move(root));
}

// As the fleet's messages carry it and MEMBERS prints it.
bool FitForMember(const std::string& name) {
  return !name.empty() && name.size() <= 64 &&
         std::none_of(name.begin(), name.end(), [](unsigned char c) { return c <= ' ' || c == 0x7f; });
}

void ReadLimits(const json& root, Config* config, std::vector<std::string>* faults) {
  Section limits(root, "limits", faults);
  double cores = 1;  // the platform sees to it
  limits.Real("cores", kLeastCores, kMostCores, &cores);
  double sockets = config->sockets;
  limits.Real("sockets", kLeastSockets, kMostSockets, &sockets);
  if (sockets != std::floor(sockets)) limits.Fault("sockets", "is no whole number");
  config->sockets = static_cast<int>(sockets);
  double megabytes = static_cast<double>(config->memory / kMegabyte);
  limits.Real("memory_mb", 1, kMostMegabytes, &megabytes);
  config->memory = static_cast<std::size_t>(megabytes * kMegabyte);
}

void ReadNames(const json& settings, Config* config) {
  config->classes = NamesIn(settings, "classes");
  config->tenants = NamesIn(settings, "tenants");
  config->zones = NamesIn(settings, "zones");
  config->kinds = NamesIn(settings, "kinds");
}

// Of settings that CheckSettings has found nothing wrong with.
void ReadForSockets(const json& settings, Config* config) {
  const json& allowed = settings.at("permissions");
  config->connect_timeout = Duration(allowed.at("connectTimeoutMs").get<double>());
  config->conn_idle = Duration(allowed.at("connIdleMs").get<double>());
  // The simulator's clients may not be listening, but an HTTP refusal always has a place for the advice: a
  // client that is not told comes back at once, over and over, to a fleet that is full.
  if (const auto most = allowed.find("maxRetryAfterMs"); most != allowed.end() && most->is_number())
    config->settings.max_retry_after = Duration(most->get<double>());
}

void ReadSettings(const json& root, Config* config, std::vector<std::string>* faults) {
  const auto found = root.find("settings");
  if (found == root.end()) return faults->push_back("settings is missing");
  if (!found->is_object()) return faults->push_back("settings is no object");
  std::vector<std::string> wrong;
  CheckSettings(*found, &wrong);
  const bool well_formed = wrong.empty();
  try {
    config->settings = adapter::ParseSettings(SettingsText(*found));
  } catch (const adapter::BadSettings& error) {
    for (const std::string& fault : error.faults()) AddUnlessNamed(fault, &wrong);
  }
  ReadNames(*found, config);
  if (well_formed) ReadForSockets(*found, config);
  faults->insert(faults->end(), wrong.begin(), wrong.end());
}

void ReadKnown(const json& root, Config* config, std::vector<std::string>* faults) {
  const auto known = root.find("known");
  if (known == root.end() || known->is_null()) return;
  std::string why;
  auto list = ParseMembers(*known, &why);
  if (!list) return faults->push_back("known is no list: " + why);
  config->known = std::move(*list);
}

// The sections that have a reader of their own.
void ReadSections(const json& root, const Environment& env, Config* config,
                  std::vector<std::string>* faults) {
  config->fleet = fleet::ReadFleet(root, faults);
  config->state = state::ReadState(root, faults);
  const char* directory = config->state.dir.empty() ? env("TMPDIR") : config->state.dir.c_str();
  if (config->operators || config->state.on) config->state_path = StatePath(directory, config->listen);
  if (config->fleet.on && !FitForMember(config->name))
    faults->push_back("name is not 1 to 64 bytes without blanks, as a member of a fleet needs");
  config->sites = fleet::ReadSites(root, faults);
  config->quota = quota::ReadQuota(root, faults);
  config->spill = overflow::ReadOverflowSection(root, faults);
}

}  // namespace

Config ReadConfig(const json& root, const Environment& env, std::vector<std::string>* faults) {
  Config config;
  const char* name = env("ROUTER_NAME");
  config.name = name && *name ? name : TextOf(root, "name", faults);
  config.listen = Address(env("ROUTER_LISTEN"), root, "listen", faults);
  config.discovery = Address(env("ROUTER_DISCOVERY"), root, "discovery", faults);
  config.operators = OptionalAddress(env("ROUTER_OPS"), root, "ops", faults);
  config.seed = SeedOf(root, faults);
  ReadLimits(root, &config, faults);
  ReadSettings(root, &config, faults);
  ReadKnown(root, &config, faults);
  ReadSections(root, env, &config, faults);
  config.file = WithoutKnown(root);
  return config;
}

}  // namespace load_balancer::proxy
