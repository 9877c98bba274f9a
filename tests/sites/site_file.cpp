// SPDX-License-Identifier: Apache-2.0
#include "site_file.h"

#include <algorithm>
#include <fstream>
#include <stdexcept>

#include "program_paths.h"

namespace load_balancer::testing {
namespace {

using nlohmann::json;
namespace fs = std::filesystem;

constexpr double kMsPerS = 1000;
constexpr double kRequestsPerS = 1000;  // that the tenants' shares are shares of

// The table that a header names, made where it is new; a list of tables stands for its last one.
json& TableAt(json& root, std::string path, bool list) {
  json* at = &root;
  for (;;) {
    const std::size_t dot = path.find('.');
    json& next = (*at)[path.substr(0, dot)];
    if (dot == std::string::npos) {
      if (list) return next.emplace_back(json::object());
      return next = json::object();
    }
    at = next.is_array() ? &next.back() : &next;
    path.erase(0, dot + 1);
  }
}

double Middle(const json& value) {
  return value.is_array() ? (value.front().get<double>() + value.back().get<double>()) / 2
                          : value.get<double>();
}

const char* EffectWord(const json& effect) {
  if (effect == "safe") return "read_like";
  return effect == "keyed" ? "idempotency_key" : "non_idempotent";
}

json Class(const json& of) {
  return {{"name", of.at("name")},
          {"effect", EffectWord(of.at("effect"))},
          {"group", of.value("group", "all")},
          {"windowMs", of.value("window_ms", 5000.0)},
          {"goalTimeMs", of.at("aim_ms")},
          {"deadlineMs", of.at("deadline_ms")},
          {"worth", of.at("worth")},
          {"lateWorth", of.at("late_worth")},
          {"streaming", false}};
}

json Tenant(const json& of) {
  return {{"name", of.at("name")},
          {"fraction", of.at("share")},
          {"quotaPerS", of.at("share").get<double>() * kRequestsPerS}};
}

json Each(const json& list, json (*make)(const json&)) {
  json made = json::array();
  for (const json& item : list) made.push_back(make(item));
  return made;
}

json NameIn(const json& item) { return item.at("name"); }

json Permissions(const json& site) {
  const json& allow = site.at("allow");
  const json& connections = site.at("tier").front().at("conn");
  return {{"maxAttempts", allow.at("max_attempts")},
          {"connIdleMs", connections.at("idle_s").get<double>() * kMsPerS},
          {"connectTimeoutMs", connections.at("connect_timeout_ms")},
          {"cpuUsPerS", allow.at("cpu_ms_per_s").get<double>() * kMsPerS},
          {"retryAfter", allow.at("retry_after")},
          {"maxRetryAfterMs", site.at("clients").at("max_retry_after_ms")}};
}

json Rules(const json& site) {
  double slow_start_min_share = 1, warm_up_s = 0;
  for (const json& kind : site.at("tier").front().at("kind")) {
    slow_start_min_share = std::min(slow_start_min_share, kind.at("cold_from").front().get<double>());
    warm_up_s = std::max(warm_up_s, kind.at("cold_s").back().get<double>());
  }
  const json& rules = site.at("rules");
  return {{"coldFrom", slow_start_min_share},
          {"warmUpMs", warm_up_s * kMsPerS},
          {"fallMultiple", rules.at("fall_multiple")},
          {"overloadForMs", rules.at("fall_ms")},
          {"drainGraceMs", rules.at("drain_grace_ms")},
          {"mustAskInMs", Middle(site.at("discovery").at("silent_notice_s")) * kMsPerS}};
}

}  // namespace

json ReadToml(const fs::path& path) {
  std::ifstream file(path);
  if (!file) throw std::runtime_error("cannot read " + path.string());
  json root = json::object();
  json* table = &root;
  for (std::string line; std::getline(file, line);) {
    if (line.empty() || line.front() == '#') continue;
    if (line.starts_with("[[")) {
      table = &TableAt(root, line.substr(2, line.find("]]") - 2), true);
    } else if (line.front() == '[') {
      table = &TableAt(root, line.substr(1, line.find(']') - 1), false);
    } else {
      const std::size_t equals = line.find(" = ");
      (*table)[line.substr(0, equals)] = json::parse(line.substr(equals + 3));
    }
  }
  return root;
}

json SiteNamed(const std::string& name) {
  return ReadToml(fs::path(load_balancer::testing::kSourceRoot) / "deploy" / "sites" / name /
                  (name + ".toml"));
}

std::vector<std::string> SiteNames() {
  std::vector<std::string> names;
  for (const auto& entry :
       fs::directory_iterator(fs::path(load_balancer::testing::kSourceRoot) / "deploy" / "sites"))
    names.push_back(entry.path().filename());
  std::sort(names.begin(), names.end());
  return names;
}

json SettingsOf(const json& site) {
  const json& tier = site.at("tier").front();
  return {{"balancers", site.at("scale").at("balancers").front()},
          {"me", 0},
          {"zone", 0},
          {"zones", site.at("net").at("zones")},
          {"kinds", Each(tier.at("kind"), NameIn)},
          {"tiers", Each(site.at("tier"), NameIn)},
          {"stage", 0},
          {"classes", Each(site.at("class"), Class)},
          {"tenants", Each(site.at("tenant"), Tenant)},
          {"overShareWorth", site.at("load").at("over_share_worth")},
          {"worthBy", site.at("load").at("worth_by")},
          {"deductions", {{"crossZone", site.at("prices").at("cross_zone")}}},
          {"registryMode", site.at("discovery").at("mode")},
          {"periodMs", site.at("day").at("tick_ms")},
          {"permissions", Permissions(site)},
          {"rules", Rules(site)},
          {"specifics", {{"warmKeys", Middle(site.at("fam").at("affinity_gain")) > 0}}}};
}

std::vector<std::string> NamesOf(const json& site) {
  std::vector<std::string> names = site.at("net").at("zones");
  for (const char* list : {"class", "tenant", "tier"})
    for (const json& item : site.at(list)) names.push_back(item.at("name"));
  for (const json& tier : site.at("tier"))
    for (const json& kind : tier.at("kind")) names.push_back(kind.at("name"));
  return names;
}

json Renamed(json settings) {
  int number = 0;
  const auto fresh = [&number] { return "renamed-" + std::to_string(++number); };
  for (const char* list : {"classes", "tenants"})
    for (json& item : settings.at(list)) item.at("name") = fresh();
  for (const char* list : {"zones", "kinds", "tiers"})
    for (json& name : settings.at(list)) name = fresh();
  return settings;
}

}  // namespace load_balancer::testing
