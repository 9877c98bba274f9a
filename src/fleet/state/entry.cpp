// SPDX-License-Identifier: Apache-2.0
#include "fleet/state/entry.h"

namespace load_balancer::fleet {

const std::string& SubjectOf(const Entry& entry) {
  if (const auto* ejection = std::get_if<Ejection>(&entry.content)) return ejection->server;
  if (const auto* fenced = std::get_if<FencedValue>(&entry.content)) return fenced->key;
  return std::get<KeyAffinity>(entry.content).server;
}

}  // namespace load_balancer::fleet
