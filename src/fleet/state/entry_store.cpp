// SPDX-License-Identifier: Apache-2.0
#include "fleet/state/entry_store.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "fleet/state/entry_codec.h"

namespace load_balancer::fleet {

const StoredEntry* EntryStore::Find(const EntryKey& key) const {
  const auto found = entries_.find(key);
  return found == entries_.end() ? nullptr : &found->second;
}

void EntryStore::Put(Entry entry, UnixMs expires_at) {
  const EntryKey key = KeyOf(entry);
  Erase(key);
  if (std::holds_alternative<KeyAffinity>(entry.content)) {
    if (affinity_count_ >= max_affinities_) EvictAffinityThatExpiresFirst();
    ++affinity_count_;
  }
  if (std::holds_alternative<FencedValue>(entry.content)) ++fenced_value_count_;
  by_expiry_.insert({expires_at, key});
  pending_.insert({0, key});
  const std::size_t packed_bytes = PackedSize(Pack(entry));
  entries_[key] = {std::move(entry), expires_at, packed_bytes, 0};
}

void EntryStore::EvictAffinityThatExpiresFirst() {
  const auto first = std::find_if(by_expiry_.begin(), by_expiry_.end(), [](const Expiry& expiry) {
    return std::holds_alternative<KeyAffinityKey>(expiry.key);
  });
  if (first == by_expiry_.end()) return;
  const EntryKey key = first->key;
  Erase(key);
}

void EntryStore::Erase(const EntryKey& key) {
  const auto found = entries_.find(key);
  if (found == entries_.end()) return;
  const StoredEntry& stored = found->second;
  if (std::holds_alternative<KeyAffinity>(stored.entry.content)) --affinity_count_;
  if (std::holds_alternative<FencedValue>(stored.entry.content)) --fenced_value_count_;
  by_expiry_.erase({stored.expires_at, key});
  pending_.erase({stored.transmits, key});
  entries_.erase(found);
}

void EntryStore::EraseFencedBelow(const std::string& role, std::uint64_t token) {
  std::vector<EntryKey> fenced_keys;
  for (const auto& [key, stored] : entries_) {
    const auto* value = std::get_if<FencedValue>(&stored.entry.content);
    if (value && value->role == role && value->token < token) fenced_keys.push_back(key);
  }
  for (const EntryKey& key : fenced_keys) Erase(key);
}

void EntryStore::Expire(UnixMs now) {
  while (!by_expiry_.empty() && by_expiry_.begin()->expires_at <= now) {
    const EntryKey key = by_expiry_.begin()->key;
    Erase(key);
  }
}

void EntryStore::CountTransmit(const EntryKey& key, int max_transmits) {
  StoredEntry& stored = entries_.at(key);
  pending_.erase({stored.transmits, key});
  ++stored.transmits;
  if (stored.transmits < max_transmits) pending_.insert({stored.transmits, key});
}

}  // namespace load_balancer::fleet
