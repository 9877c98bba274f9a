// SPDX-License-Identifier: Apache-2.0
#include "config/replacement.h"

#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "config/across.h"
#include "config/reader.h"
#include "config/settings_check.h"
#include "quota/key_aliases.h"

namespace load_balancer::proxy {
namespace {

using nlohmann::json;

// Keys that the documents let a file leave out.
bool MayBeAbsent(const std::string& key) {
  static const std::set<std::string> kOptional{"known", "aimStretch", "passesDeadline", "warmKeys",
                                               "fleet", "sites",      "quota",          "spill"};
  return kOptional.contains(key);
}

bool SameKind(const json& one, const json& other) {
  return one.is_null() == other.is_null() && one.is_object() == other.is_object() &&
         one.is_array() == other.is_array();
}

// What every object of a list has, from its first one; null if they are no objects.
json CommonOf(const json& list) {
  if (list.empty() || !list.front().is_object()) return nullptr;
  json common = list.front();
  for (const json& item : list) {
    for (auto it = common.begin(); it != common.end();)
      it = item.contains(it.key()) ? ++it : common.erase(it);
  }
  return common;
}

// Adds one line for each key that `before` has and `now` lacks. Of a list of objects each has to have what
// all have had.
void AddMissingKeys(const json& before, const json& now, const std::string& path,
                    std::vector<std::string>* faults) {
  if (!before.is_object()) return;
  const auto miss = [faults](const std::string& at) { AddUnlessNamed(std::string(kMissing) + at, faults); };
  for (const auto& [key, inner] : before.items()) {
    const std::string at = path + key;
    const auto found = now.find(key);
    if (found == now.end()) {
      if (!MayBeAbsent(key)) miss(at);
      continue;
    }
    if (!SameKind(inner, *found)) {
      miss(at);
      continue;
    }
    AddMissingKeys(inner, *found, at + ".", faults);
    if (!inner.is_array()) continue;
    const json common = CommonOf(inner);
    for (std::size_t i = 0; common.is_object() && i < found->size(); ++i) {
      const std::string item = at + "." + std::to_string(i);
      if ((*found)[i].is_object())
        AddMissingKeys(common, (*found)[i], item + ".", faults);
      else
        miss(item);
    }
  }
}

// The one that is meant where there is none; null where the settings are no object.
json Setting(const json& root, const char* key, const json& absent) {
  const auto settings = root.find("settings");
  return settings != root.end() && settings->is_object() ? settings->value(key, absent) : json();
}

// What a process has from its start alone, and another there.
void AddFixed(const json& root, const Config& fresh, const Config& current,
              std::vector<std::string>* faults) {
  const auto fixed = [faults](bool same, const std::string& key) {
    if (!same) AddUnlessNamed(key + " needs a new start", faults);
  };
  const auto setting = [&](const char* key, const json& absent) {
    const json now = Setting(root, key, absent);
    fixed(now.is_null() || now == Setting(*current.file, key, absent), std::string("settings.") + key);
  };
  setting("zones", json::array());
  setting("kinds", json::array());
  setting("registryMode", "push");
  fixed(fresh.quota.on == current.quota.on, "quota");
  fixed(fresh.quota.allocators == current.quota.allocators, "quota." + fresh.quota.key_names.allocators);
  fixed(fresh.quota.max_grant_lifetime == current.quota.max_grant_lifetime,
        "quota." + fresh.quota.key_names.grant_lifetime);
  fixed(fresh.quota.request_interval == current.quota.request_interval, "quota.ask_ms");
}

// As a start would have it, but for what the environment said then: its discovery is as old as the process,
// and where it listens to clients stays.
Environment AtReload(const json& root, const std::string& listen) {
  const bool from_start = !root.contains("listen");
  return [from_start, listen](const char* name) -> const char* {
    return from_start && std::string_view(name) == "ROUTER_LISTEN" ? listen.c_str() : nullptr;
  };
}

std::string Text(const boost::asio::ip::tcp::endpoint& at) {
  const std::string address = at.address().to_string();
  return (at.address().is_v6() ? "[" + address + "]" : address) + ":" + std::to_string(at.port());
}

// Gateways agree on budgets by their revision.
void CheckRevision(const json& root, const Config& fresh, const Config& current) {
  if (!fresh.quota.on) return;
  if (fresh.quota.budgets.revision < current.quota.budgets.revision)
    throw BadConfig("quota.revision is smaller than the one in force");
  const auto partners = [](const json& file) {
    return quota::WithPresentKeys(file).at("quota").at("partners");
  };
  if (fresh.quota.budgets.revision == current.quota.budgets.revision &&
      partners(root) != partners(*current.file))
    throw BadConfig("quota.partners is another, and quota.revision the same");
}

}  // namespace

Config Replacement(const json& root, const Config& current) {
  std::vector<std::string> faults;
  const Config fresh = ReadConfig(root, AtReload(root, Text(current.listen)), &faults);
  AddMissingKeys(quota::WithPresentKeys(*current.file), quota::WithPresentKeys(root), "", &faults);
  AddFixed(root, fresh, current, &faults);
  if (!faults.empty()) throw BadConfig(std::move(faults));
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
}

}  // namespace load_balancer::proxy
