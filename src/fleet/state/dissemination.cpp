// SPDX-License-Identifier: Apache-2.0
#include "fleet/state/dissemination.h"

#include <algorithm>
#include <vector>

#include "fleet/state/anti_entropy.h"
#include "fleet/state/entry_codec.h"

namespace load_balancer::fleet {
namespace {

using nlohmann::json;

// The search for an entry that fits ends after this number of entries that were too large for the remaining
// bytes.
constexpr int kMaxSkipped = 16;

// Returns the keys of the pending entries that fit an array of `max_bytes`, least sent first.
std::vector<EntryKey> SelectPending(const EntryStore& store, std::size_t max_bytes) {
  std::vector<EntryKey> selected;
  if (max_bytes < kArrayHeaderBytes) return selected;
  std::size_t bytes_left = max_bytes - kArrayHeaderBytes;
  int skipped = 0;
  for (const PendingTransmit& pending : store.pending()) {
    const std::size_t size = store.Find(pending.key)->packed_bytes;
    if (size > bytes_left) {
      ++skipped;
      if (skipped > kMaxSkipped) break;
      continue;
    }
    bytes_left -= size;
    selected.push_back(pending.key);
  }
  return selected;
}

json PackAll(const EntryStore& store, const std::vector<EntryKey>& keys) {
  json packed = json::array();
  for (const EntryKey& key : keys) packed.push_back(Pack(store.Find(key)->entry));
  return packed;
}

}  // namespace

PackedPush PackKeys(const EntryStore& store, const std::set<EntryKey>& keys, std::size_t max_bytes) {
  std::size_t bytes_left = max_bytes - std::min(max_bytes, kArrayHeaderBytes);
  PackedPush push;
  for (const EntryKey& key : keys) {
    const std::size_t size = store.Find(key)->packed_bytes;
    if (size > bytes_left) break;
    bytes_left -= size;
    push.keys.push_back(key);
  }
  push.entries = PackAll(store, push.keys);
  return push;
}

json PackAndCountPending(EntryStore* store, std::size_t max_bytes, int max_transmits) {
  const std::vector<EntryKey> selected = SelectPending(*store, max_bytes);
  json packed = PackAll(*store, selected);
  for (const EntryKey& key : selected) store->CountTransmit(key, max_transmits);
  return packed;
}

}  // namespace load_balancer::fleet
