// SPDX-License-Identifier: Apache-2.0
#include "config/reader.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "config/settings_text.h"
#include "settings.h"

namespace brackenspoke::proxy {
namespace {

using nlohmann::json;
using Tcp = boost::asio::ip::tcp;

constexpr std::size_t kMegabyte = 1024 * 1024;

Tcp::endpoint Address(const char* from_env, const json& root, const char* name) {
  const std::string text = from_env && *from_env ? from_env : root.value(name, "");
  const auto endpoint = ParseEndpoint(text);
  if (!endpoint) throw BadConfig(std::string(name) + " is no address: '" + text + "'");
  return *endpoint;
}

std::optional<Tcp::endpoint> OptionalAddress(const char* from_env, const json& root, const char* name) {
  if ((!from_env || !*from_env) && !root.contains(name)) return std::nullopt;
  return Address(from_env, root, name);
}

// A path for this proxy's files, by the address that all of its processes have.
std::string StatePath(const char* directory, const Tcp::endpoint& listen) {
  if (!directory || !*directory) return "";
  return std::string(directory) + "/kestrelline-" + listen.address().to_string() + '-' +
         std::to_string(listen.port());
}

std::uint64_t SeedOf(const json& root) {
  const auto found = root.find("seed");
  if (found == root.end()) throw BadConfig("seed is missing");
  if (found->is_number_unsigned()) return found->get<std::uint64_t>();
  const std::string text = found->is_string() ? found->get<std::string>() : "";
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (text.empty() || error != std::errc() || end != text.data() + text.size())
    throw BadConfig("seed is no hexadecimal number");
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

void ReadLimits(const json& root, Config* config) {
  if (const auto limits = root.find("limits"); limits != root.end()) {
    config->sockets = limits->value("sockets", config->sockets);
    const double mb = limits->value("memory_mb", static_cast<double>(config->memory / kMegabyte));
    if (!(mb >= 1 && mb <= 1e6)) throw BadConfig("limits.memory_mb is no amount to serve with");
    config->memory = static_cast<std::size_t>(mb * kMegabyte);
  }
  if (config->sockets < 64) throw BadConfig("limits.sockets is too small to serve");
}

void ReadSettings(const json& settings, Config* config) {
  CheckNumbers(settings);
  config->settings = adapter::ParseSettings(SettingsText(settings));
  config->classes = NamesIn(settings, "classes");
  config->tenants = NamesIn(settings, "tenants");
  config->zones = NamesIn(settings, "zones");
  config->kinds = NamesIn(settings, "kinds");
  if (const auto allowed = settings.find("permissions"); allowed != settings.end()) {
    config->connect_timeout = Duration(allowed->value("connectTimeoutMs", config->connect_timeout.count()));
    config->conn_idle = Duration(allowed->value("connIdleMs", config->conn_idle.count()));
    // The simulator's clients may not be listening, but an HTTP refusal always has a place for the advice: a
    // client that is not told comes back at once, over and over, to a fleet that is full.
    config->settings.max_retry_after =
        std::max(Duration(0), Duration(allowed->value("maxRetryAfterMs", 0.0)));
  }
  if (!(config->connect_timeout.count() > 0) || !(config->conn_idle.count() > 0))
    throw BadConfig("permissions.connectTimeoutMs and connIdleMs must be over 0");
}

void ReadKnown(const json& root, Config* config) {
  if (const auto known = root.find("known"); known != root.end() && !known->is_null()) {
    std::string why;
    auto list = ParseMembers(*known, &why);
    if (!list) throw BadConfig("known is no list: " + why);
    config->known = std::move(*list);
  }
}

// The sections that have a reader of their own; all their faults together.
void ReadSections(const json& root, const Environment& env, Config* config) {
  std::vector<std::string> faults;
  config->fleet = fleet::ReadFleet(root, &faults);
  config->state = state::ReadState(root, &faults);
  const char* directory = config->state.dir.empty() ? env("TMPDIR") : config->state.dir.c_str();
  if (config->operators || config->state.on) config->state_path = StatePath(directory, config->listen);
  if (config->state.on && config->state_path.empty())
    faults.push_back("state.dir is missing, and $TMPDIR is not set");
  if (config->fleet.on && !FitForMember(config->name))
    faults.push_back("name is not 1 to 64 bytes without blanks, as a member of a fleet needs");
  config->sites = fleet::ReadSites(root, &faults);
  config->quota = quota::ReadQuota(root, &faults);
  config->spill = spill::ReadSpill(root, &faults);
  if (!faults.empty()) throw BadConfig(std::move(faults));
}

}  // namespace

Config ReadConfig(const json& root, const Environment& env) {
  Config config;
  const char* name = env("ROUTER_NAME");
  config.name = name && *name ? name : root.value("name", "");
  config.listen = Address(env("ROUTER_LISTEN"), root, "listen");
  config.discovery = Address(env("ROUTER_DISCOVERY"), root, "discovery");
  config.operators = OptionalAddress(env("ROUTER_OPS"), root, "ops");
  config.seed = SeedOf(root);
  ReadLimits(root, &config);
  ReadSettings(root.at("settings"), &config);
  ReadKnown(root, &config);
  ReadSections(root, env, &config);
  config.file = WithoutKnown(root);
  return config;
}

}  // namespace brackenspoke::proxy
