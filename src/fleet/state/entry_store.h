// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The entries that a member stores, indexed by key, by expiry and by how often they have been sent.
#ifndef LOAD_BALANCER_FLEET_STATE_ENTRY_STORE_H_
#define LOAD_BALANCER_FLEET_STATE_ENTRY_STORE_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>

#include "fleet/state/entry.h"
#include "fleet/state/entry_key.h"

namespace load_balancer::fleet {

struct StoredEntry {
  Entry entry;
  UnixMs expires_at = 0;
  std::size_t packed_bytes = 0;
  int transmits = 0;  ///< messages that have carried it
};

/// An entry that is still to be disseminated.
struct PendingTransmit {
  int transmits = 0;
  EntryKey key;
  auto operator<=>(const PendingTransmit&) const = default;
};

class EntryStore {
 public:
  /// Stores at most `max_affinities` affinities; a further one replaces the one that expires first.
  explicit EntryStore(std::size_t max_affinities) : max_affinities_(max_affinities) {}

  /// In the order of their keys.
  const std::map<EntryKey, StoredEntry>& all() const { return entries_; }
  /// Null if there is none.
  const StoredEntry* Find(const EntryKey& key) const;
  std::size_t size() const { return entries_.size(); }
  std::size_t fenced_value_count() const { return fenced_value_count_; }

  /// Replaces the entry with the same key. The new one is pending from now on.
  void Put(Entry entry, UnixMs expires_at);
  void Erase(const EntryKey& key);
  /// Erases the values of a duty that were written under a smaller token.
  void EraseFencedBelow(const std::string& duty, std::uint64_t token);
  /// Erases what expires at `now` or before.
  void Expire(UnixMs now);

  /// The entries that are to be sent, least sent first.
  const std::set<PendingTransmit>& pending() const { return pending_; }
  /// A message has carried the entry; after `max_transmits` it is pending no more.
  void CountTransmit(const EntryKey& key, int max_transmits);

 private:
  struct Expiry {
    UnixMs expires_at = 0;
    EntryKey key;
    auto operator<=>(const Expiry&) const = default;
  };

  void EvictAffinityThatExpiresFirst();

  const std::size_t max_affinities_;
  std::map<EntryKey, StoredEntry> entries_;
  std::set<Expiry> by_expiry_;
  std::set<PendingTransmit> pending_;
  std::size_t affinity_count_ = 0;
  std::size_t fenced_value_count_ = 0;
};

}  // namespace load_balancer::fleet

#endif  // LOAD_BALANCER_FLEET_STATE_ENTRY_STORE_H_
