// SPDX-License-Identifier: Apache-2.0
#include "config.h"

#include <sys/resource.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "settings.h"

namespace brackenspoke::proxy {
namespace {

using nlohmann::json;
using Tcp = boost::asio::ip::tcp;

constexpr std::size_t kMegabyte = 1024 * 1024;

// A value as the simulator's first message writes it: no blanks, no line ends.
std::string Scalar(const json& value) {
  std::string text = value.is_string() ? value.get<std::string>() : value.dump();
  std::replace_if(
      text.begin(), text.end(), [](unsigned char c) { return std::isspace(c) || c == ','; }, '_');
  return text;
}

// The path=value lines of the simulator's wire, so that one parser of settings serves both.
void Flatten(const json& value, const std::string& path, std::string* lines) {
  const std::string under = path.empty() ? "" : path + ".";
  if (value.is_object()) {
    for (const auto& [name, inner] : value.items()) Flatten(inner, under + name, lines);
  } else if (value.is_array() && !value.empty() && value.front().is_structured()) {
    *lines += under + "count=" + std::to_string(value.size()) + '\n';
    for (std::size_t i = 0; i < value.size(); ++i) Flatten(value[i], under + std::to_string(i), lines);
  } else if (value.is_array()) {
    std::string joined;
    for (const json& item : value) {
      if (!joined.empty()) joined += ',';
      joined += Scalar(item);
    }
    *lines += path + '=' + joined + '\n';
  } else if (!value.is_null()) {
    *lines += path + '=' + Scalar(value) + '\n';
  }
}

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

std::vector<std::string> Strings(const json& settings, const char* name) {
  std::vector<std::string> all;
  const auto found = settings.find(name);
  if (found == settings.end() || !found->is_array()) return all;
  for (const json& item : *found) all.push_back(item.is_object() ? item.value("name", "") : Scalar(item));
  return all;
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

// A number, not one in words; the parser turns those down that are too large.
void CheckAboveZero(const json& object, const char* name, const std::string& path) {
  const auto found = object.find(name);
  if (found == object.end()) throw BadConfig("setting absent: " + path + name);
  if (!found->is_number() || !(found->get<double>() > 0) || !std::isfinite(found->get<double>()))
    throw BadConfig("setting is no number above 0: " + path + name);
}

void CheckNumbers(const json& settings) {
  const auto classes = settings.find("classes");
  if (classes != settings.end() && classes->is_array()) {
    for (std::size_t i = 0; i < classes->size(); ++i)
      CheckAboveZero((*classes)[i], "deadlineMs", "classes." + std::to_string(i) + ".");
  }
  if (const auto allowed = settings.find("permissions"); allowed != settings.end())
    CheckAboveZero(*allowed, "maxAttempts", "permissions.");
}

// Keys that the documents let a file leave out.
bool MayBeAbsent(const std::string& key) {
  static const std::set<std::string> kOptional{"known", "aimStretch", "passesDeadline", "warmKeys",
                                               "fleet", "sites",      "quota",          "spill"};
  return kOptional.contains(key);
}

// A key that `before` has and `now` lacks; empty if there is none.
std::string MissingKey(const json& before, const json& now, const std::string& path) {
  if (!before.is_object()) return "";
  for (const auto& [key, inner] : before.items()) {
    const auto found = now.find(key);
    if (found == now.end()) {
      if (MayBeAbsent(key)) continue;
      return path + key;
    }
    if (found->is_null() != inner.is_null() || found->is_object() != inner.is_object() ||
        found->is_array() != inner.is_array())
      return path + key;
    if (std::string missing = MissingKey(inner, *found, path + key + "."); !missing.empty()) return missing;
    if (!inner.is_array() || inner.empty() || !inner.front().is_object()) continue;
    // Of a list of objects each has what all have had.
    json common = inner.front();
    for (const json& item : inner) {
      for (auto it = common.begin(); it != common.end();)
        it = item.contains(it.key()) ? ++it : common.erase(it);
    }
    for (std::size_t i = 0; i < found->size(); ++i) {
      const std::string at = path + key + "." + std::to_string(i);
      if (!(*found)[i].is_object()) return at;
      if (std::string missing = MissingKey(common, (*found)[i], at + "."); !missing.empty()) return missing;
    }
  }
  return "";
}

std::shared_ptr<const json> WithoutKnown(json root) {
  root.erase("known");
  return std::make_shared<const json>(std::move(root));
}

std::string Joined(const std::vector<std::string>& faults) {
  std::string all;
  for (const std::string& fault : faults) all += (all.empty() ? "" : "; ") + fault;
  return all;
}

// As the fleet's messages carry it and MEMBERS prints it.
bool FitForMember(const std::string& name) {
  return !name.empty() && name.size() <= 64 &&
         std::none_of(name.begin(), name.end(), [](unsigned char c) { return c <= ' ' || c == 0x7f; });
}

Config Read(const json& root, const Environment& env) {
  Config config;
  const char* name = env("ROUTER_NAME");
  config.name = name && *name ? name : root.value("name", "");
  config.listen = Address(env("ROUTER_LISTEN"), root, "listen");
  config.discovery = Address(env("ROUTER_DISCOVERY"), root, "discovery");
  config.operators = OptionalAddress(env("ROUTER_OPS"), root, "ops");
  config.seed = SeedOf(root);
  if (const auto limits = root.find("limits"); limits != root.end()) {
    config.sockets = limits->value("sockets", config.sockets);
    const double mb = limits->value("memory_mb", static_cast<double>(config.memory / kMegabyte));
    if (!(mb >= 1 && mb <= 1e6)) throw BadConfig("limits.memory_mb is no amount to serve with");
    config.memory = static_cast<std::size_t>(mb * kMegabyte);
  }
  if (config.sockets < 64) throw BadConfig("limits.sockets is too small to serve");

  const json& settings = root.at("settings");
  CheckNumbers(settings);
  std::string lines;
  Flatten(settings, "", &lines);
  config.settings = adapter::ParseSettings(lines);
  config.classes = Strings(settings, "classes");
  config.tenants = Strings(settings, "tenants");
  config.zones = Strings(settings, "zones");
  config.kinds = Strings(settings, "kinds");
  if (const auto allowed = settings.find("permissions"); allowed != settings.end()) {
    config.connect_timeout = Duration(allowed->value("connectTimeoutMs", config.connect_timeout.count()));
    config.conn_idle = Duration(allowed->value("connIdleMs", config.conn_idle.count()));
    // The simulator's clients may not be listening, but an HTTP refusal always has a place for the advice: a
    // client that is not told comes back at once, over and over, to a fleet that is full.
    config.settings.max_retry_after = std::max(Duration(0), Duration(allowed->value("maxRetryAfterMs", 0.0)));
  }
  if (!(config.connect_timeout.count() > 0) || !(config.conn_idle.count() > 0))
    throw BadConfig("permissions.connectTimeoutMs and connIdleMs must be over 0");

  if (const auto known = root.find("known"); known != root.end() && !known->is_null()) {
    std::string why;
    auto list = ParseMembers(*known, &why);
    if (!list) throw BadConfig("known is no list: " + why);
    config.known = std::move(*list);
  }
  std::vector<std::string> faults;
  config.fleet = fleet::ReadFleet(root, &faults);
  config.state = state::ReadState(root, &faults);
  const char* directory = config.state.dir.empty() ? env("TMPDIR") : config.state.dir.c_str();
  if (config.operators || config.state.on) config.state_path = StatePath(directory, config.listen);
  if (config.state.on && config.state_path.empty())
    faults.push_back("state.dir is missing, and $TMPDIR is not set");
  if (config.fleet.on && !FitForMember(config.name))
    faults.push_back("name is not 1 to 64 bytes without blanks, as a member of a fleet needs");
  config.sites = fleet::ReadSites(root, &faults);
  config.quota = quota::ReadQuota(root, &faults);
  config.spill = spill::ReadSpill(root, &faults);
  if (!faults.empty()) throw BadConfig(std::move(faults));
  config.file = WithoutKnown(root);
  return config;
}

quota::Layout LayoutOf(const fleet::SitesSection& sites) {
  quota::Layout layout;
  for (const auto& [site, gateways] : sites.gateways)
    for (const auto& [name, at] : gateways) layout[site].insert(name);
  return layout;
}

spill::Directory DirectoryOf(const fleet::SitesSection& sites) {
  spill::Directory directory;
  for (const auto& [site, gateways] : sites.gateways)
    for (const auto& [name, at] : gateways) directory[site][name] = {at.pool, at.clients};
  return directory;
}

// What one section alone cannot tell.
void CheckAcross(const Config& config) {
  std::vector<std::string> faults;
  fleet::CheckSelf(config.sites, config.name, config.listen, &faults);
  if (config.sites.on && !config.fleet.on) faults.push_back("fleet is missing, which sites needs");
  if (config.sites.on && config.fleet.bind == config.sites.bind)
    faults.push_back("sites.bind is fleet.bind, too");
  if (config.quota.on && !config.sites.on) faults.push_back("quota needs the section sites");
  if (config.quota.on && config.sites.on)
    quota::CheckQuota(config.quota, LayoutOf(config.sites), {config.tenants.begin(), config.tenants.end()},
                      config.sites.lease_term, config.sites.lease_drift, &faults);
  spill::CheckSpill(config.spill, DirectoryOf(config.sites), config.sites.site, config.fleet.lease_term,
                    &faults);
  if (!faults.empty()) throw BadConfig(std::move(faults));
}

// Gateways agree on budgets by their revision.
void CheckRevision(const json& root, const Config& fresh, const Config& current) {
  if (!fresh.quota.on) return;
  if (fresh.quota.budgets.revision < current.quota.budgets.revision)
    throw BadConfig("quota.revision is smaller than the one in force");
  if (fresh.quota.budgets.revision == current.quota.budgets.revision &&
      root.at("quota").at("partners") != current.file->at("quota").at("partners"))
    throw BadConfig("quota.partners is another, and quota.revision the same");
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
  Config config = Parsed(text, [&](const json& root) { return Read(root, env); });
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
  return Parsed(text, [&](const json& root) {
    if (const std::string missing = MissingKey(*current.file, root, ""); !missing.empty())
      throw BadConfig("absent or of another kind: " + missing);
    const Config fresh = Read(root, [](const char*) -> const char* { return nullptr; });
    if (fresh.zones != current.zones || fresh.kinds != current.kinds ||
        fresh.settings.must_ask_for_list != current.settings.must_ask_for_list)
      throw BadConfig("zones, kinds and registryMode need a new start");
    if (fresh.quota.on != current.quota.on || fresh.quota.treasurers != current.quota.treasurers ||
        fresh.quota.draw != current.quota.draw || fresh.quota.ask != current.quota.ask)
      throw BadConfig("all of quota but revision and partners needs a new start");
    CheckRevision(root, fresh, current);
    Config next = current;
    next.known = {};  // long known
    next.discovery = fresh.discovery;
    next.settings = fresh.settings;
    next.classes = fresh.classes;
    next.tenants = fresh.tenants;
    next.connect_timeout = fresh.connect_timeout;
    next.conn_idle = fresh.conn_idle;
    next.quota = fresh.quota;
    next.file = fresh.file;
    CheckAcross(next);
    return next;
  });
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
