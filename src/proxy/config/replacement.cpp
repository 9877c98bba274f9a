// SPDX-License-Identifier: Apache-2.0
#include "config/replacement.h"

#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "config/across.h"
#include "config/reader.h"

namespace brackenspoke::proxy {
namespace {

using nlohmann::json;

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

// Gateways agree on budgets by their revision.
void CheckRevision(const json& root, const Config& fresh, const Config& current) {
  if (!fresh.quota.on) return;
  if (fresh.quota.budgets.revision < current.quota.budgets.revision)
    throw BadConfig("quota.revision is smaller than the one in force");
  if (fresh.quota.budgets.revision == current.quota.budgets.revision &&
      root.at("quota").at("partners") != current.file->at("quota").at("partners"))
    throw BadConfig("quota.partners is another, and quota.revision the same");
}

}  // namespace

Config Replacement(const json& root, const Config& current) {
  if (const std::string missing = MissingKey(*current.file, root, ""); !missing.empty())
    throw BadConfig("absent or of another kind: " + missing);
  const Config fresh = ReadConfig(root, [](const char*) -> const char* { return nullptr; });
  if (fresh.zones != current.zones || fresh.kinds != current.kinds ||
      fresh.settings.must_ask_for_list != current.settings.must_ask_for_list)
    throw BadConfig("zones, kinds and registryMode need a new start");
  if (fresh.quota.on != current.quota.on || fresh.quota.allocators != current.quota.allocators ||
      fresh.quota.grant_life != current.quota.grant_life || fresh.quota.ask != current.quota.ask)
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
}

}  // namespace brackenspoke::proxy
