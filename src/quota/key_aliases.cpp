// SPDX-License-Identifier: Apache-2.0
#include "quota/key_aliases.h"

#include <utility>

namespace load_balancer::quota {
namespace {

using nlohmann::json;

template <std::size_t kCount>
void RenameKeys(json& object, const std::array<KeyAlias, kCount>& aliases) {
  if (!object.is_object()) return;
  for (const KeyAlias& alias : aliases) {
    const auto former = object.find(alias.former);
    if (former == object.end() || object.contains(alias.key)) continue;
    json value = std::move(*former);
    object.erase(former);
    object[alias.key] = std::move(value);
  }
}

}  // namespace

json WithPresentKeys(json root) {
  if (!root.is_object()) return root;
  const auto quota = root.find("quota");
  if (quota == root.end()) return root;
  RenameKeys(*quota, kSectionAliases);
  if (!quota->is_object()) return root;
  const auto partners = quota->find("partners");
  if (partners == quota->end() || !partners->is_object()) return root;
  for (json& budget : *partners) RenameKeys(budget, kBudgetAliases);
  return root;
}

}  // namespace load_balancer::quota
