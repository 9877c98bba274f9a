// SPDX-License-Identifier: Apache-2.0
#include "fleet/state/entry_key.h"

#include <xxhash.h>

namespace load_balancer::fleet {
namespace {

constexpr XXH64_hash_t kTextSeed = 0;
constexpr XXH64_hash_t kNumberSeed = 1;

std::uint64_t HashText(const std::string& text) { return XXH64(text.data(), text.size(), kTextSeed); }

}  // namespace

EntryKey KeyOf(const Entry& entry) {
  if (const auto* ejection = std::get_if<Ejection>(&entry.content)) return EjectionKey{ejection->server};
  if (const auto* fenced = std::get_if<FencedValue>(&entry.content)) return FencedValueKey{fenced->key};
  return KeyAffinityKey{std::get<KeyAffinity>(entry.content).key};
}

// Server ids and the keys of fenced values are hashed with different prefixes, so that a server and a fenced
// value of the same name have different hashes.
std::uint64_t HashOf(const EntryKey& key) {
  if (const auto* ejection = std::get_if<EjectionKey>(&key)) return HashText("v:" + ejection->server);
  if (const auto* fenced = std::get_if<FencedValueKey>(&key)) return HashText("d:" + fenced->key);
  const std::uint64_t number = std::get<KeyAffinityKey>(key).key;
  return XXH64(&number, sizeof number, kNumberSeed);
}

}  // namespace load_balancer::fleet
