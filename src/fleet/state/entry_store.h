// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Stores the entries of a member and indexes them by key, by expiry and by the number of times that they
/// were sent.
#ifndef LOAD_BALANCER_FLEET_STATE_ENTRY_STORE_H_
#define LOAD_BALANCER_FLEET_STATE_ENTRY_STORE_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>

#include "fleet/state/entry.h"
#include "fleet/state/entry_key.h"

namespace load_balancer::fleet {

/// StoredEntry is an entry with its expiry, its packed size and the number of times that it was sent.
struct StoredEntry {
  Entry entry;
  UnixMs expires_at = 0;
  std::size_t packed_bytes = 0;
  int transmits = 0;  ///< number of messages that have carried the entry
};

/// PendingTransmit identifies an entry that must still be sent in further messages.
struct PendingTransmit {
  int transmits = 0;
  EntryKey key;
  auto operator<=>(const PendingTransmit&) const = default;
};

/// EntryStore stores the entries of the replicated state.
class EntryStore {
 public:
  /// Limits the number of affinities to `max_affinities`. A further affinity replaces the one that expires
  /// first.
  explicit EntryStore(std::size_t max_affinities) : max_affinities_(max_affinities) {}

  /// Returns all entries in the order of their keys.
  const std::map<EntryKey, StoredEntry>& all() const { return entries_; }
  /// Returns the entry with a key, or null if there is none.
  const StoredEntry* Find(const EntryKey& key) const;
  std::size_t size() const { return entries_.size(); }
  std::size_t fenced_value_count() const { return fenced_value_count_; }

  /// Stores an entry in place of the one with the same key, if any, and marks it as pending.
  void Put(Entry entry, UnixMs expires_at);
  void Erase(const EntryKey& key);
  /// Erases the fenced values of a role whose token is smaller than `token`.
  void EraseFencedBelow(const std::string& role, std::uint64_t token);
  /// Erases the entries that expire at `now` or earlier.
  void Expire(UnixMs now);

  /// Returns the entries that are still to be sent, least sent first.
  const std::set<PendingTransmit>& pending() const { return pending_; }
  /// Records that one more message has carried the entry. After `max_transmits` messages the entry is no
  /// longer pending.
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
